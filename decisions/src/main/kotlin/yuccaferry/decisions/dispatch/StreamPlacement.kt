/*
 * Places prompts on engines. Long prompts delay every request that writes on the same engine, so short prompts are packed
 * on engines from the start of a common order and long prompts take the emptiest engines from its end.
 */
package yuccaferry.decisions.dispatch

/**
 * Where a prompt is read.
 *
 * @property main engine that receives the request and writes the answer.
 * @property helpers engines that read parts of the prompt, in order.
 * @property predictedMillis time to the first event.
 * @property partsOnTime parts in which the prompt would have to be read to be on time.
 */
data class StreamPlan(
    val main: TargetLoad,
    val helpers: List<HelperPlan>,
    val predictedMillis: Double,
    val partsOnTime: Int,
)

/**
 * An engine that reads a part of a prompt.
 *
 * @property reservedTokens tokens of the prompt that its memory holds until the answer is written; zero when the main one does.
 */
data class HelperPlan(
    val engine: TargetLoad,
    val reservedTokens: Long,
)

/**
 * A prompt to place.
 *
 * @property promptTokens tokens of the prompt.
 * @property totalTokens tokens of prompt and answer.
 * @property aimMillis time to the first event that is on time.
 * @property patienceMillis time for which the caller waits.
 */
data class Prompt(
    val promptTokens: Long,
    val totalTokens: Long,
    val aimMillis: Long,
    val patienceMillis: Long,
)

/** Places prompts by the predicted times of [model]. */
class StreamPlacement(
    private val model: EngineModel,
) {
    /** Whether [tokens] delay the other requests of an engine noticeably. */
    fun isLong(tokens: Long): Boolean = model.readMillis(tokens) > LONG_READ_MILLIS

    /** The plan for [prompt] over [engines], which all daemons list in the same order; null when there are none. */
    fun place(
        prompt: Prompt,
        engines: List<TargetLoad>,
    ): StreamPlan? {
        if (engines.isEmpty()) return null
        return if (isLong(prompt.promptTokens)) placeLong(prompt, engines) else placeShort(prompt, engines)
    }

    private fun placeShort(
        prompt: Prompt,
        engines: List<TargetLoad>,
    ): StreamPlan {
        var best = engines.first()
        var bestCost = Double.MAX_VALUE
        for ((index, engine) in engines.withIndex()) {
            val cost = shortCost(engine) + index * ORDER_MILLIS
            if (cost < bestCost) {
                best = engine
                bestCost = cost
            }
        }
        return StreamPlan(best, emptyList(), predicted(prompt, best, parts = 1), partsOnTime = 1)
    }

    private fun shortCost(engine: TargetLoad): Double {
        val packed = (engine.slots * PACKED_SHARE).toInt()
        val crowding = if (engine.active >= packed) (engine.active - packed + 1) * CROWDED_MILLIS else 0.0
        val full = if (engine.active >= engine.slots) FULL_MILLIS else 0.0
        return engine.readingMillis + engine.longRequests * BESIDE_LONG_MILLIS + crowding + full + engine.penaltyMillis
    }

    private fun placeLong(
        prompt: Prompt,
        engines: List<TargetLoad>,
    ): StreamPlan? {
        val ranked =
            engines
                .mapIndexed { index, engine -> engine to longCost(engine, prompt) - index * ORDER_MILLIS }
                .sortedBy { it.second }
                .map { it.first }
        val main = ranked.first()
        val usable = ranked.drop(1).filter { mayHelp(it) }
        val deficit = prompt.totalTokens - freeTokens(main)
        val held = if (deficit > 0) reserve(deficit, usable) ?: reserve(deficit, ranked.drop(1)) ?: return null else emptyList()
        val readers = usable.filter { engine -> held.none { it.engine.id == engine.id } }
        val helpers = held + readers.take(maxOf(0, partsOf(prompt, usable.size) - 1 - held.size)).map { HelperPlan(it, 0) }
        return StreamPlan(main, helpers, predicted(prompt, main, parts = helpers.size + 1), partsOnTime(prompt))
    }

    /**
     * Whether a long prompt that has waited [waitedMillis] should wait for engines to become idle instead of following [plan]:
     * it would be late now, and could be on time with few more helpers.
     */
    fun shouldWait(
        prompt: Prompt,
        plan: StreamPlan,
        waitedMillis: Long,
    ): Boolean =
        isLong(prompt.promptTokens) &&
            plan.partsOnTime <= WORTH_WAITING_PARTS &&
            waitedMillis < prompt.aimMillis * WAIT_SHARE_OF_AIM &&
            waitedMillis + plan.predictedMillis > prompt.aimMillis

    private fun partsOnTime(prompt: Prompt): Int =
        model.partsFor(prompt.promptTokens, prompt.aimMillis * READ_SHARE_OF_AIM, most = MAX_PARTS)

    /**
     * Parts in which [prompt] is read when [idle] engines may help. A prompt that would take most of them to be on time is read
     * by few instead, in time for its deadline, so that it delays no others.
     */
    private fun partsOf(
        prompt: Prompt,
        idle: Int,
    ): Int {
        val onTime = partsOnTime(prompt)
        if (onTime <= FEW_PARTS || onTime - 1 <= idle * MOST_IDLE_SHARE) return onTime
        return minOf(onTime, model.partsFor(prompt.promptTokens, prompt.patienceMillis * READ_SHARE_OF_PATIENCE, most = MAX_PARTS))
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

    private fun longCost(
        engine: TargetLoad,
        prompt: Prompt,
    ): Double {
        val full = if (engine.active >= engine.slots) FULL_MILLIS else 0.0
        val overMemory = if (engine.heldTokens + prompt.totalTokens > model.figures.memoryTokens) FULL_MILLIS else 0.0
        val harm = engine.active * HARMED_WRITER_MILLIS + engine.longRequests * HARMED_LONG_MILLIS
        return engine.readingMillis + harm + full + overMemory + engine.penaltyMillis
    }

    private fun predicted(
        prompt: Prompt,
        engine: TargetLoad,
        parts: Int,
    ): Double = engine.readingMillis + model.readMillis(prompt.promptTokens, parts) + model.passMillis(engine.active, engine.heldTokens)

    private companion object {
        /** Read time in ms above which writers beside the prompt would pause noticeably; half the shortest pause aim in use. */
        const val LONG_READ_MILLIS = 120.0

        /** Cost in ms of each position in the common order; breaks ties the same way on every daemon. */
        const val ORDER_MILLIS = 0.1

        /** Share of an engine's slots that short prompts fill before the next engine is used. */
        const val PACKED_SHARE = 0.6

        /** Cost in ms of each request beyond the packed share. */
        const val CROWDED_MILLIS = 8.0

        /** Cost in ms of joining an engine that has no free slot. */
        const val FULL_MILLIS = 2_000.0

        /** Cost in ms of joining an engine on which a long request reads or writes. */
        const val BESIDE_LONG_MILLIS = 60.0

        /** Cost in ms, for a long prompt, of each request that it would delay. */
        const val HARMED_WRITER_MILLIS = 250.0

        /** Additional cost in ms of each long request that it would delay, which has cost seconds of reading. */
        const val HARMED_LONG_MILLIS = 1_500.0

        /** Engines whose prompts take longer than this many ms help no other prompt; about one short prompt. */
        const val IDLE_READ_MILLIS = 40.0

        /** Most requests on an engine that helps: their events are late while it does. */
        const val MOST_DELAYED = 3

        /** Share of the aim that reading a long prompt may take. */
        const val READ_SHARE_OF_AIM = 0.6

        /** Share of the caller's patience that reading a prompt that can't be on time may take. */
        const val READ_SHARE_OF_PATIENCE = 0.55

        /** Share of the aim for which a prompt waits for idle engines; the rest is for reading it. */
        const val WAIT_SHARE_OF_AIM = 0.4

        /** Most parts of a prompt that waits; so many engines seldom become idle within the wait. */
        const val WORTH_WAITING_PARTS = 5

        /** Parts that a prompt may always be read in. */
        const val FEW_PARTS = 3

        /** Share of the idle engines that one prompt may take. */
        const val MOST_IDLE_SHARE = 0.6

        /** Most engines that read one prompt, with the one that writes; more would leave none for short prompts. */
        const val MAX_PARTS = 14

        /** Share of an engine's memory that prompts are planned into; the rest is for what other daemons place meanwhile. */
        const val USABLE_MEMORY_SHARE = 0.9

        /** Tokens of the smallest part for which memory is set aside. */
        const val LEAST_RESERVED_TOKENS = 2_048L
    }
}
