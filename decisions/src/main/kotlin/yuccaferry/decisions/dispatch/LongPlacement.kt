/*
 * Places long prompts. Prefilling a prompt in parts takes as much engine time in total as in one piece, so a prompt is split into
 * as many parts as its target latency needs, on engines that short prompts do not need; without such engines it waits.
 */
package yuccaferry.decisions.dispatch

import kotlin.math.ceil

/** Places long prompts by the times that [model] predicts. */
internal class LongPlacement(
    private val model: EngineModel,
) {
    /**
     * Returns the plan for [prompt] over [engines], of which there is at least one; null when their memory doesn't suffice. [pick],
     * in [0, 1), decides between equivalent engines, so that daemons that place prompts at the same moment seldom choose the same
     * engine.
     */
    fun place(
        prompt: Prompt,
        engines: List<TargetLoad>,
        pick: Double,
    ): StreamPlan? {
        val first = (pick * engines.size).toInt()
        val ranked = (engines.drop(first) + engines.take(first)).sortedBy { cost(it, prompt) }
        val main = ranked.first()
        val usable = ranked.drop(1).filter { canHelp(it, prompt) }
        val deficit = prompt.totalTokens - freeTokens(main)
        val held = if (deficit > 0) reserve(deficit, usable) ?: reserve(deficit, ranked.drop(1)) ?: return null else emptyList()
        val prefillOnly = usable.filter { engine -> held.none { it.engine.id == engine.id } }
        val available = availableEngines(engines, prompt)
        val parts = parts(prompt, minOf(usable.size, available - 1))
        val helpers = held + prefillOnly.take(maxOf(0, parts - 1 - held.size)).map { HelperPlan(it, 0) }
        val millis = model.firstEventMillis(prompt, main, parts = helpers.size + 1)
        return StreamPlan(main, helpers, millis, partsNeeded(prompt), hasCapacity = available > 0)
    }

    /**
     * Returns whether [prompt] should wait for engines instead of following [plan]. It waits when it would be late now or would
     * delay other requests, and can still be on time with a few more helpers; or when short prompts need all engines.
     */
    fun shouldWait(
        prompt: Prompt,
        plan: StreamPlan,
    ): Boolean {
        val delaysOthers = plan.main.active > 0
        val isLate = prompt.waitedMillis + plan.predictedMillis > prompt.latencyTargetMillis
        val canBeOnTime =
            plan.partsNeeded <= MAX_PARTS_WORTH_WAITING && prompt.waitedMillis < prompt.latencyTargetMillis * WAIT_SHARE_OF_TARGET_LATENCY
        val timeoutMillis = prompt.waitedMillis + prompt.remainingMillis
        val hasTime =
            if (prompt.level > 0) {
                prompt.waitedMillis < timeoutMillis * LONGEST_HOLD_SHARE &&
                    prompt.remainingMillis > plan.predictedMillis * LATEST_START_FACTOR
            } else {
                prompt.waitedMillis < timeoutMillis * WAIT_SHARE_OF_TIMEOUT
            }
        return if (plan.hasCapacity) (isLate || delaysOthers) && canBeOnTime else hasTime
    }

    /** Returns the number of engines that long prompts may take now: not needed by short prompts and not prefilling a long one. */
    private fun availableEngines(
        engines: List<TargetLoad>,
        prompt: Prompt,
    ): Int {
        val shortRequests = engines.sumOf { maxOf(0, it.active - it.longRequests) }
        val slots = engines.sumOf { it.slots }.toDouble() / engines.size
        // The engines of a less urgent prompt lie outside the part in which the rank reserve has already kept some to spare.
        val spare = if (prompt.level > 0) 0.0 else ceil(engines.size * SPARE_SHARE)
        val forShort = ceil(shortRequests / (slots * SLOT_UTILIZATION)) + spare
        val forLong = maxOf(engines.size - forShort.toInt(), (engines.size * MIN_LONG_SHARE).toInt(), 1)
        return forLong - engines.count { it.remainingPrefillMillis > LONG_PREFILL_MILLIS }
    }

    /** Returns the number of parts that make [prompt] on time or, when [helpers] engines don't suffice for that, that meet its deadline. */
    private fun parts(
        prompt: Prompt,
        helpers: Int,
    ): Int {
        val maxParts = maxOf(0, helpers) + 1
        val needed = partsNeeded(prompt)
        if (needed <= maxParts) return needed
        return model.partsFor(prompt.promptTokens, prompt.remainingMillis * PREFILL_SHARE_OF_REMAINING, maxParts)
    }

    private fun partsNeeded(prompt: Prompt): Int {
        val left = maxOf(prompt.latencyTargetMillis - prompt.waitedMillis, 1)
        return model.partsFor(prompt.promptTokens, left * PREFILL_SHARE_OF_TARGET_LATENCY, maxParts = MAX_PARTS)
    }

    /**
     * Returns whether [engine] may help: it prefills the part before all other work, so only engines with little work may, and for less
     * urgent prompts only idle ones.
     */
    private fun canHelp(
        engine: TargetLoad,
        prompt: Prompt,
    ): Boolean =
        engine.remainingPrefillMillis <= IDLE_PREFILL_MILLIS &&
            engine.longRequests == 0 &&
            engine.active <= (if (prompt.level > 0) 0 else MAX_DELAYED_REQUESTS) &&
            engine.penaltyMillis == 0.0

    /**
     * Reserves memory for [tokens], in parts of at least [MIN_RESERVED_TOKENS], at the first of [engines] that have it free. Returns
     * null when they don't suffice.
     */
    private fun reserve(
        tokens: Long,
        engines: List<TargetLoad>,
    ): List<HelperPlan>? {
        var left = tokens
        val plans = mutableListOf<HelperPlan>()
        for (engine in engines) {
            val part = minOf(left, freeTokens(engine))
            if (part < MIN_RESERVED_TOKENS) continue
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
        val full = if (engine.active >= engine.slots) FULL_COST_MILLIS else 0.0
        val overMemory = if (engine.heldTokens + prompt.totalTokens > model.figures.memoryTokens) FULL_COST_MILLIS else 0.0
        val delay = engine.active * DELAYED_REQUEST_COST_MILLIS + engine.longRequests * DELAYED_LONG_COST_MILLIS
        return engine.remainingPrefillMillis + delay + full + overMemory + engine.penaltyMillis
    }

    companion object {
        /** Most engines that prefill one prompt: the main engine and as many helpers as a request may name. */
        const val MAX_PARTS = 17

        /** Cost of each request that the prompt would delay. */
        private const val DELAYED_REQUEST_COST_MILLIS = 250.0

        /** Additional cost of each long request that the prompt would delay; its prefill has already taken seconds. */
        private const val DELAYED_LONG_COST_MILLIS = 1_500.0

        /** Longest pending prefill time of an engine that may help; about that of one short prompt. */
        private const val IDLE_PREFILL_MILLIS = 40.0

        /** Most requests on an engine that may help; their events are late while it helps. */
        private const val MAX_DELAYED_REQUESTS = 1

        /** Share of the slots that short prompts are assumed to fill on the engines kept for them. */
        private const val SLOT_UTILIZATION = 0.75

        /** Share of all engines kept for short prompts beyond those that the current ones need. */
        private const val SPARE_SHARE = 0.1

        /** Share of the engines that long prompts may always take, so that any number of short prompts doesn't starve them. */
        private const val MIN_LONG_SHARE = 0.3

        /** Share of the rest of the target latency that prefill may take; what is left is for the pass that emits the first event. */
        private const val PREFILL_SHARE_OF_TARGET_LATENCY = 0.7

        /** Share of the time before the deadline that the prefill of a prompt that can't be on time may take. */
        private const val PREFILL_SHARE_OF_REMAINING = 0.55

        /** Share of the target latency for which a prompt waits for idle engines; the rest is for its prefill. */
        private const val WAIT_SHARE_OF_TARGET_LATENCY = 0.4

        /** Share of the time from arrival to deadline for which a prompt waits when short prompts need all engines. */
        private const val WAIT_SHARE_OF_TIMEOUT = 0.3

        /** Multiple of its predicted time that must be left to a less urgent prompt which waits: the engines are busy when it starts. */
        private const val LATEST_START_FACTOR = 2.0

        /** Most parts of a prompt that waits; more engines than that seldom become idle within the wait. */
        private const val MAX_PARTS_WORTH_WAITING = 8

        /** Share of an engine's memory that prompts are planned into; the rest is for prompts that other daemons place meanwhile. */
        private const val USABLE_MEMORY_SHARE = 0.9

        /** Smallest part for which memory is reserved, in tokens. */
        private const val MIN_RESERVED_TOKENS = 2_048L
    }
}
