/*
 * Places prompts on engines. Long prompts delay every request that reads or writes on the same engine, so short prompts are
 * packed on engines from the start of a common order, and long prompts get what short ones leave.
 */
package yuccaferry.decisions.dispatch

/**
 * Where a prompt is read.
 *
 * @property main engine that receives the request and writes the answer.
 * @property helpers engines that read parts of the prompt, in order.
 * @property predictedMillis time to the first event.
 * @property partsOnTime parts in which the prompt would have to be read to be on time.
 * @property hasRoom whether short prompts have enough engines beside this plan.
 */
data class StreamPlan(
    val main: TargetLoad,
    val helpers: List<HelperPlan>,
    val predictedMillis: Double,
    val partsOnTime: Int,
    val hasRoom: Boolean,
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
 * @property aimMillis time from its arrival to the first event that is on time.
 * @property waitedMillis time since its arrival.
 * @property patienceMillis time for which the caller still waits.
 */
data class Prompt(
    val promptTokens: Long,
    val totalTokens: Long,
    val aimMillis: Long,
    val waitedMillis: Long,
    val patienceMillis: Long,
)

/** Places prompts by the predicted times of [model]. */
class StreamPlacement(
    val model: EngineModel,
) {
    private val long = LongPlacement(model)

    /** Whether [tokens] delay the other requests of an engine noticeably. */
    fun isLong(tokens: Long): Boolean = model.readMillis(tokens) > LONG_READ_MILLIS

    /**
     * The plan for [prompt] over [engines], which all daemons list in the same order; null when there are none. [pick], from 0
     * until 1 and drawn anew for each call, decides between engines that are alike for a long prompt.
     */
    fun place(
        prompt: Prompt,
        engines: List<TargetLoad>,
        pick: Double,
    ): StreamPlan? {
        if (engines.isEmpty()) return null
        return if (isLong(prompt.promptTokens)) long.place(prompt, engines, pick) else placeShort(prompt, engines)
    }

    /** Whether [prompt] should wait for a better plan than [plan]. */
    fun shouldWait(
        prompt: Prompt,
        plan: StreamPlan,
    ): Boolean = isLong(prompt.promptTokens) && long.shouldWait(prompt, plan)

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
        return StreamPlan(best, emptyList(), model.firstEventMillis(prompt, best, parts = 1), partsOnTime = 1, hasRoom = true)
    }

    private fun shortCost(engine: TargetLoad): Double {
        val packed = (engine.slots * PACKED_SHARE).toInt()
        val crowding = if (engine.active >= packed) (engine.active - packed + 1) * CROWDED_MILLIS else 0.0
        val full = if (engine.active >= engine.slots) FULL_MILLIS else 0.0
        return engine.readingMillis + engine.longRequests * BESIDE_LONG_MILLIS + crowding + full + engine.penaltyMillis
    }

    private companion object {
        /** Cost in ms of each position in the common order; breaks ties the same way on every daemon. */
        const val ORDER_MILLIS = 0.1

        /** Share of an engine's slots that short prompts fill before the next engine is used. */
        const val PACKED_SHARE = 0.6

        /** Cost in ms of each request beyond the packed share. */
        const val CROWDED_MILLIS = 8.0

        /** Cost in ms of joining an engine on which a long request reads or writes. */
        const val BESIDE_LONG_MILLIS = 60.0
    }
}

/** Predicted time to the first event of [prompt], read at [engine] and others in [parts] parts. */
internal fun EngineModel.firstEventMillis(
    prompt: Prompt,
    engine: TargetLoad,
    parts: Int,
): Double = engine.readingMillis + readMillis(prompt.promptTokens, parts) + passMillis(engine.active, engine.heldTokens)

/**
 * Read time in ms above which a prompt counts as long: a pass that reads it and one short prompt makes writers beside them pause for
 * about the shortest pause aim in use, 250 ms.
 */
internal const val LONG_READ_MILLIS = 150.0

/** Cost in ms of joining an engine that has no free slot. */
internal const val FULL_MILLIS = 2_000.0
