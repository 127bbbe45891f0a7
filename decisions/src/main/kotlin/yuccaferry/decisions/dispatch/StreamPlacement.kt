/*
 * Places prompts on engines. Long prompts delay every other request on the same engine, in prefill or decode, so short prompts take
 * the cheapest of the engines that are compared for them, and long prompts use the engines that short ones leave free.
 */
package yuccaferry.decisions.dispatch

/**
 * Placement of one prompt.
 *
 * @property main engine that receives the request and generates the answer.
 * @property helpers engines that prefill parts of the prompt, in order.
 * @property predictedMillis predicted time to the first event.
 * @property partsNeeded parts into which the prompt would have to be split to be on time.
 * @property hasCapacity whether an engine is available that short prompts do not need.
 */
data class StreamPlan(
    val main: TargetLoad,
    val helpers: List<HelperPlan>,
    val predictedMillis: Double,
    val partsNeeded: Int,
    val hasCapacity: Boolean,
)

/**
 * Engine that prefills a part of a prompt.
 *
 * @property reservedTokens prompt tokens that its memory holds until the answer is complete; zero when the main engine holds them.
 */
data class HelperPlan(
    val engine: TargetLoad,
    val reservedTokens: Long,
)

/**
 * Prompt to place.
 *
 * @property promptTokens tokens of the prompt.
 * @property totalTokens tokens of prompt and answer.
 * @property latencyTargetMillis target latency: time from arrival within which the first event is on time.
 * @property waitedMillis time since arrival.
 * @property remainingMillis time left until the request's deadline.
 * @property level urgency after ageing; zero or less is the most urgent. More urgent prompts have room that the others leave free.
 */
data class Prompt(
    val promptTokens: Long,
    val totalTokens: Long,
    val latencyTargetMillis: Long,
    val waitedMillis: Long,
    val remainingMillis: Long,
    val level: Int = 0,
)

/** Places prompts by the times that [model] predicts. */
class StreamPlacement(
    val model: EngineModel,
) {
    private val long = LongPlacement(model)

    /** Returns whether a prompt of [tokens] noticeably delays the other requests of an engine. */
    fun isLong(tokens: Long): Boolean = model.prefillMillis(tokens) > LONG_PREFILL_MILLIS

    /**
     * Returns the plan for [prompt] over [engines], which all daemons list in the same order; null when there are none. A long
     * prompt also has no plan when the engines' memory doesn't suffice. [pick], a new random number in [0, 1) for each call,
     * decides between engines that are equivalent for a long prompt.
     */
    fun place(
        prompt: Prompt,
        engines: List<TargetLoad>,
        pick: Double,
    ): StreamPlan? {
        if (engines.isEmpty()) return null
        return if (isLong(prompt.promptTokens)) long.place(prompt, engines, pick) else placeShort(prompt, engines)
    }

    /**
     * Returns the plan over [engines] for a long [prompt] that can't be served now by the engines that its level leaves it, which
     * are [leftToLevel] in number. It should wait while it can; after that it has no plan, unless it is so large that the few would
     * hardly ever have room for it. Also null when the memory of all engines doesn't suffice.
     */
    fun placeBeyondReserve(
        prompt: Prompt,
        engines: List<TargetLoad>,
        leftToLevel: Int,
        pick: Double,
    ): StreamPlan? {
        val plan = place(prompt, engines, pick)?.copy(hasCapacity = false) ?: return null
        val isLarge = prompt.totalTokens > leftToLevel * model.figures.memoryTokens * LARGE_SHARE_OF_MEMORY
        return plan.takeIf { isLarge || shouldWait(prompt, plan) }
    }

    /** Returns whether [prompt] should wait for a better plan than [plan]. */
    fun shouldWait(
        prompt: Prompt,
        plan: StreamPlan,
    ): Boolean = if (isLong(prompt.promptTokens)) long.shouldWait(prompt, plan) else !RankReserve.mayTakePlace(plan.main, prompt.level)

    /** Returns the shortest time in milliseconds to the first event of a prompt of [tokens], on engines that are idle. */
    fun leastMillis(tokens: Long): Double = model.prefillMillis(tokens, if (isLong(tokens)) LongPlacement.MAX_PARTS else 1)

    /** Returns whether [plan] can make the first event of [prompt] arrive before its deadline; predictions are rarely too long. */
    fun isServable(
        prompt: Prompt,
        plan: StreamPlan,
    ): Boolean = plan.predictedMillis < prompt.remainingMillis

    /**
     * Returns whether [plan] makes [prompt] on time without meeting a long prompt, an engine that failed recently or one with fewer than
     * [freeSlots] slots left. Other daemons may have sent requests there that aren't known yet, so the last slots are seldom free.
     */
    fun isUncontended(
        prompt: Prompt,
        plan: StreamPlan,
        freeSlots: Int = 1,
    ): Boolean {
        val main = plan.main
        val isOnTime = prompt.waitedMillis + plan.predictedMillis + main.penaltyMillis <= prompt.latencyTargetMillis
        return isOnTime && main.longRequests == 0 && main.active <= main.slots - freeSlots && !shouldWait(prompt, plan)
    }

    private val TargetLoad.packedRequests get() = (slots * PACKED_SHARE).toInt()

    private fun placeShort(
        prompt: Prompt,
        engines: List<TargetLoad>,
    ): StreamPlan {
        var best = engines.first()
        var bestCost = Double.MAX_VALUE
        for ((index, engine) in engines.withIndex()) {
            val reserved = if (RankReserve.mayTakePlace(engine, prompt.level)) 0.0 else FULL_COST_MILLIS
            val cost = shortCost(engine) + index * POSITION_COST_MILLIS + reserved
            if (cost < bestCost) {
                best = engine
                bestCost = cost
            }
        }
        return StreamPlan(best, emptyList(), model.firstEventMillis(prompt, best, parts = 1), partsNeeded = 1, hasCapacity = true)
    }

    private fun shortCost(engine: TargetLoad): Double {
        val longMillis = engine.longRequests * LONG_REQUEST_COST_MILLIS
        return engine.remainingPrefillMillis + longMillis + crowdingCost(engine) + engine.penaltyMillis
    }

    private fun crowdingCost(engine: TargetLoad): Double {
        val crowding = (engine.active - engine.packedRequests + 1) * CROWDING_COST_MILLIS
        if (crowding <= 0) return 0.0
        val free = engine.slots - engine.active
        return crowding + if (free <= 0) FULL_COST_MILLIS else FULL_RISK_MILLIS / (free * free)
    }

    private companion object {
        /** Share of the memory of several engines that is seldom free at once while other long prompts are there. */
        const val LARGE_SHARE_OF_MEMORY = 0.25

        /** Cost of each position in the common order; breaks ties the same way on every daemon. */
        const val POSITION_COST_MILLIS = 0.1

        /** Share of an engine's slots that short prompts fill before the next engine is used. */
        const val PACKED_SHARE = 0.6

        /** Cost of each request beyond the packed share. */
        const val CROWDING_COST_MILLIS = 8.0

        /**
         * Cost of an engine with one free slot: half of the time until the next slot is free, as another daemon may take it meanwhile. The
         * risk decreases with the square of the free slots.
         */
        const val FULL_RISK_MILLIS = 140.0

        /** Cost of each long request in prefill or decode on the engine. */
        const val LONG_REQUEST_COST_MILLIS = 60.0
    }
}

/** Predicts the time to the first event of [prompt], prefilled in [parts] parts at [engine] and its helpers. */
internal fun EngineModel.firstEventMillis(
    prompt: Prompt,
    engine: TargetLoad,
    parts: Int,
): Double =
    queueMillis(prompt, engine) + engine.remainingPrefillMillis + prefillMillis(prompt.promptTokens, parts) +
        passMillis(minOf(engine.active, engine.slots), engine.heldTokens)

/** Predicts for how long [prompt] waits for a slot of [engine], whose requests are assumed to have answers as long as the prompt's. */
private fun EngineModel.queueMillis(
    prompt: Prompt,
    engine: TargetLoad,
): Double {
    val ahead = engine.active - engine.slots + 1
    if (ahead <= 0) return 0.0
    val answerMillis = (prompt.totalTokens - prompt.promptTokens) * passMillis(engine.slots, engine.heldTokens) / figures.stepsPerPass
    return ahead * answerMillis / engine.slots
}

/**
 * Prefill time above which a prompt counts as long. A pass that prefills it and one short prompt pauses the decoding requests of the
 * engine for about the shortest target gap in use, 250 ms.
 */
internal const val LONG_PREFILL_MILLIS = 150.0

/** Cost of placing a prompt on an engine that has no free slot, or no memory for it. */
internal const val FULL_COST_MILLIS = 2_000.0
