/*
 * Places long prompts. Reading one in parts takes as much engine time in all as reading it in one piece, so it is read in as many
 * parts as its aim needs, on engines that short prompts do not need; without such engines it waits.
 */
package yuccaferry.decisions.dispatch

import kotlin.math.ceil

/** Places long prompts by the predicted times of [model]. */
internal class LongPlacement(
    private val model: EngineModel,
) {
    /**
     * The plan for [prompt] over [engines], of which there is at least one; null when their memory doesn't suffice. [pick], from 0
     * until 1, decides between engines that are alike, so that daemons that place at the same moment seldom choose the same.
     */
    fun place(
        prompt: Prompt,
        engines: List<TargetLoad>,
        pick: Double,
    ): StreamPlan? {
        val first = (pick * engines.size).toInt()
        val ranked = (engines.drop(first) + engines.take(first)).sortedBy { cost(it, prompt) }
        val main = ranked.first()
        val usable = ranked.drop(1).filter { mayHelp(it) }
        val deficit = prompt.totalTokens - freeTokens(main)
        val held = if (deficit > 0) reserve(deficit, usable) ?: reserve(deficit, ranked.drop(1)) ?: return null else emptyList()
        val readers = usable.filter { engine -> held.none { it.engine.id == engine.id } }
        val room = room(engines)
        val parts = parts(prompt, minOf(usable.size, room - 1))
        val helpers = held + readers.take(maxOf(0, parts - 1 - held.size)).map { HelperPlan(it, 0) }
        val millis = model.firstEventMillis(prompt, main, parts = helpers.size + 1)
        return StreamPlan(main, helpers, millis, partsOnTime(prompt), hasRoom = room > 0)
    }

    /**
     * Whether [prompt] should wait for engines instead of following [plan]: it would be late now, or make others pause, and can
     * still be on time with few more helpers; or short prompts need all engines.
     */
    fun shouldWait(
        prompt: Prompt,
        plan: StreamPlan,
    ): Boolean {
        val harms = plan.main.active > 0
        val isLate = prompt.waitedMillis + plan.predictedMillis > prompt.aimMillis
        val canBeOnTime = plan.partsOnTime <= WORTH_WAITING_PARTS && prompt.waitedMillis < prompt.aimMillis * WAIT_SHARE_OF_AIM
        val wholePatience = prompt.waitedMillis + prompt.patienceMillis
        val hasTime = prompt.waitedMillis < wholePatience * WAIT_SHARE_OF_PATIENCE
        return if (plan.hasRoom) (isLate || harms) && canBeOnTime else hasTime
    }

    /** Engines that long prompts may take now: neither needed by short prompts nor reading a long one. */
    private fun room(engines: List<TargetLoad>): Int {
        val shortRequests = engines.sumOf { maxOf(0, it.active - it.longRequests) }
        val slots = engines.sumOf { it.slots }.toDouble() / engines.size
        val forShort = ceil(shortRequests / (slots * FILLED_SHARE)) + ceil(engines.size * SPARE_SHARE)
        val forLong = maxOf(engines.size - forShort.toInt(), (engines.size * LEAST_SHARE).toInt(), 1)
        return forLong - engines.count { it.readingMillis > LONG_READ_MILLIS }
    }

    /** Parts that read [prompt] on time; fewer, in time for its deadline, when [helpers] engines don't suffice for that. */
    private fun parts(
        prompt: Prompt,
        helpers: Int,
    ): Int {
        val most = maxOf(0, helpers) + 1
        val onTime = partsOnTime(prompt)
        if (onTime <= most) return onTime
        return model.partsFor(prompt.promptTokens, prompt.patienceMillis * READ_SHARE_OF_PATIENCE, most)
    }

    private fun partsOnTime(prompt: Prompt): Int {
        val left = maxOf(prompt.aimMillis - prompt.waitedMillis, 1)
        return model.partsFor(prompt.promptTokens, left * READ_SHARE_OF_AIM, most = MAX_PARTS)
    }

    /** A part of a prompt is read ahead of all else, so only engines that it delays little may help. */
    private fun mayHelp(engine: TargetLoad): Boolean =
        engine.readingMillis <= IDLE_READ_MILLIS && engine.longRequests == 0 && engine.active <= MOST_DELAYED && engine.penaltyMillis == 0.0

    /** Memory for [tokens] tokens at the first of [engines] that have room; null when they don't suffice. */
    private fun reserve(
        tokens: Long,
        engines: List<TargetLoad>,
    ): List<HelperPlan>? {
        var left = tokens
        val plans = mutableListOf<HelperPlan>()
        for (engine in engines) {
            val part = minOf(left, freeTokens(engine))
            if (part < LEAST_RESERVED_TOKENS) continue
            plans += HelperPlan(engine, part)
            left -= part
            if (left <= 0) return plans
        }
        return null
    }

    private fun freeTokens(engine: TargetLoad): Long =
        maxOf(0, (model.figures.memoryTokens * USABLE_MEMORY_SHARE).toLong() - engine.heldTokens)

    private fun cost(
        engine: TargetLoad,
        prompt: Prompt,
    ): Double {
        val full = if (engine.active >= engine.slots) FULL_MILLIS else 0.0
        val overMemory = if (engine.heldTokens + prompt.totalTokens > model.figures.memoryTokens) FULL_MILLIS else 0.0
        val harm = engine.active * HARMED_WRITER_MILLIS + engine.longRequests * HARMED_LONG_MILLIS
        return engine.readingMillis + harm + full + overMemory + engine.penaltyMillis
    }

    private companion object {
        /** Cost in ms of each request that the prompt would delay. */
        const val HARMED_WRITER_MILLIS = 250.0

        /** Additional cost in ms of each long request that it would delay, which has cost seconds of reading. */
        const val HARMED_LONG_MILLIS = 1_500.0

        /** Engines whose prompts take longer than this many ms help no other prompt; about one short prompt. */
        const val IDLE_READ_MILLIS = 40.0

        /** Most requests on an engine that helps: their events are late while it does. */
        const val MOST_DELAYED = 1

        /** Share of the slots that short prompts are assumed to fill on the engines kept for them. */
        const val FILLED_SHARE = 0.75

        /** Share of the engines kept for short prompts beyond those that the present ones need. */
        const val SPARE_SHARE = 0.1

        /** Share of the engines that long prompts may take however many short ones there are, so that they are served as well. */
        const val LEAST_SHARE = 0.3

        /** Share of what is left of the aim that reading may take; the rest is for the pass that writes the first event. */
        const val READ_SHARE_OF_AIM = 0.7

        /** Share of the caller's patience that reading a prompt that can't be on time may take. */
        const val READ_SHARE_OF_PATIENCE = 0.55

        /** Share of the aim for which a prompt waits for idle engines; the rest is for reading it. */
        const val WAIT_SHARE_OF_AIM = 0.4

        /** Share of the caller's patience for which a prompt waits when short prompts need all engines. */
        const val WAIT_SHARE_OF_PATIENCE = 0.3

        /** Most parts of a prompt that waits; so many engines seldom become idle within the wait. */
        const val WORTH_WAITING_PARTS = 8

        /** Most engines that read one prompt: the one that writes and as many helpers as a request may name. */
        const val MAX_PARTS = 17

        /** Share of an engine's memory that prompts are planned into; the rest is for what other daemons place meanwhile. */
        const val USABLE_MEMORY_SHARE = 0.9

        /** Tokens of the smallest part for which memory is set aside. */
        const val LEAST_RESERVED_TOKENS = 2_048L
    }
}
