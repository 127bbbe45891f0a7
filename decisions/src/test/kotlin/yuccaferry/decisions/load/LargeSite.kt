// Figures of the engines of a site with hundreds of instances.
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.routing.EngineFigures

internal object LargeSite {
    /** Engines of one zone. */
    const val ENGINES = 39

    /** Share of the first events that must be on time, as the users state it. */
    const val REQUIRED_SHARE = 0.95

    val figures =
        EngineFigures(
            slots = 10,
            memoryTokens = 405_000,
            stepMillis = 1.31,
            stepMillisPerSequence = 0.000917,
            contextMillisPerThousand = 0.00213,
            prefillTokensPerMillisecond = 154.0,
            pairMillisPerMillion = 0.162,
            chunkTokens = 2_048,
            stepsPerPass = 53,
        )

    val placement = StreamPlacement(EngineModel(figures))

    /** Places short prompts in the pool, or on other engines if none there is good; and long prompts on all engines. */
    val pooled =
        ZonePolicy { prompt, view, random ->
            val pool = ShortPool.of(view.shortRequests, view.engines.size, figures.slots)
            val isLong = placement.isLong(prompt.promptTokens)
            val sampled = if (isLong) null else pool.sample(view.engines, random)
            val plan = sampled?.let { placement.place(prompt, it, random.nextDouble()) }
            val others = if (isLong) view.engines else pool.widen(view.engines, random) + sampled.orEmpty()
            plan?.takeIf { placement.isUncontended(prompt, it, freeSlots = 2) } ?: placement.place(prompt, others, random.nextDouble())
        }

    /** Short prompts, [perSecond] of them by the time in milliseconds. */
    fun short(perSecond: (Double) -> Double) = PromptKind(perSecond, 4_960.0, 0.9, 23_800, 26.0, targetMillis = 400)
}

/** Returns the share of the prompts of [kind] whose first event was on time. */
internal fun List<Outcome>.onTimeShare(kind: PromptKind): Double {
    val asked = filter { it.kind === kind }
    return asked.count { it.firstMillis != null && it.firstMillis <= kind.targetMillis }.toDouble() / asked.size
}
