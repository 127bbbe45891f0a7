// Callers of three ranks that compete for engines, and the policies compared for them.
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.RankReserve
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.Rank
import kotlin.random.Random

internal object ThreeRanks {
    const val GATEWAYS = 119

    val figures =
        EngineFigures(
            slots = 12,
            memoryTokens = 232_000,
            stepMillis = 1.02,
            stepMillisPerSequence = 0.000917,
            contextMillisPerThousand = 0.00213,
            prefillTokensPerMillisecond = 206.0,
            pairMillisPerMillion = 0.162,
            chunkTokens = 2_048,
            stepsPerPass = 48,
        )

    private val placement = StreamPlacement(EngineModel(figures))

    /** Short prompts arrive [burst] times as often from the fifth to the fifteenth second. */
    fun kinds(burst: Double): List<RankedKind> =
        listOf(
            RankedKind("short", PromptKind(during(47.1, burst), 4_960.0, 0.9, 23_800, 30.7, targetMillis = 263), Rank(0), 10_000),
            RankedKind("medium", PromptKind(during(5.57, burst), 45_000.0, 0.5, 110_000, 18.4, targetMillis = 1_500), Rank(1), 10_000),
            RankedKind("long", PromptKind(during(1.52, burst), 190_000.0, 0.55, 600_000, 15.3, targetMillis = 6_000), Rank(2), 15_000),
        )

    private fun during(
        perSecond: Double,
        burst: Double,
    ): (Double) -> Double = { if (it in 5_000.0..15_000.0) perSecond * burst else perSecond }

    val ranked = RankedPolicy("ranked", usesRanks = true, ::pooled, placement::shouldWait)

    /** The same placement without ranks. */
    val unranked = RankedPolicy("unranked", usesRanks = false, ::pooled, placement::shouldWait)

    val leastOutstanding =
        RankedPolicy("least", place = { prompt, view, random ->
            plain(
                prompt,
                view.engines.indices
                    .shuffled(random)
                    .minBy { view.engines[it].active },
                view,
            )
        })

    fun roundRobin(): RankedPolicy {
        var next = 0
        return RankedPolicy("round-robin", place = { prompt, view, _ -> plain(prompt, next++ % view.engines.size, view) })
    }

    private fun plain(
        prompt: Prompt,
        index: Int,
        view: ZoneView,
    ): StreamPlan = checkNotNull(placement.place(prompt.copy(totalTokens = 0), listOf(view.engines[index]), pick = 0.0))

    private fun pooled(
        prompt: Prompt,
        view: ZoneView,
        random: Random,
    ): StreamPlan? {
        val pool = ShortPool.of(view.shortRequests, view.engines.size, figures.slots)
        val isLong = placement.isLong(prompt.promptTokens)
        val forLong = if (isLong) RankReserve.enginesForLong(view.engines, pool.size, prompt.level) else view.engines
        val compared = if (isLong) forLong else pool.sample(view.engines, random)
        val plan = placement.place(prompt, compared, random.nextDouble())
        plan?.takeIf { placement.isUncontended(prompt, it) }?.let { return it }
        val best = placement.place(prompt, forLong, random.nextDouble())
        if (!isLong || prompt.level <= 0) return best
        if (best != null && placement.isServable(prompt, best)) return best
        return placement.placeBeyondReserve(prompt, view.engines, forLong.size, random.nextDouble())
    }
}
