package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** A fifth of the engines is several times slower than their figures say, while their health checks pass. */
class SlowEnginesTest {
    private val short = LargeSite.short { 37.0 }
    private val run = Incarnation("1")

    private fun target(engine: Int) = TargetId("engine-%03d".format(engine))

    private fun time(millis: Double) = MonotonicTime(millis.toLong())

    /** Plays 20 s; daemons that are [reporting] tell each other the engines whose first events are late. */
    private fun onTimeShare(
        seed: Int,
        reporting: Boolean,
    ): Double {
        val zone = EmulatedZone(LargeSite.figures, LargeSite.ENGINES, viewAgeMillis = 100.0, LargeSite.pooled, seed)
        zone.engines.filterIndexed { index, _ -> index % SLOW_ENGINE_EVERY == 0 }.forEach { it.slowness = SLOWNESS }
        if (reporting) connectReports(zone, Random(seed))
        return zone.play(listOf(short), lengthMillis = 20_000.0).onTimeShare(short)
    }

    private fun connectReports(
        zone: EmulatedZone,
        random: Random,
    ) {
        val daemons = List(DAEMONS) { DaemonName("daemon-$it") to TargetHealth() }
        val reports = PeerReports()
        zone.onFirstEvent = { engine, predicted, observed, now ->
            val (name, health) = daemons.random(random)
            health.recordFirstEvent(target(engine), run, predicted, observed, time(now))
            reports.receive(name, health.reportable(time(now)), time(now))
        }
        zone.penaltyOf = { engine, now -> reports.agreedMillis(target(engine), run, ownMillis = 0.0, time(now)) }
    }

    @Test
    fun `more short prompts are on time when daemons report late engines`() {
        for (seed in SEEDS) {
            val with = onTimeShare(seed, reporting = true)
            val without = onTimeShare(seed, reporting = false)
            println("seed=$seed with_reports=$with without=$without")
            assertTrue(with > without, "$with with reports, $without without, seed $seed")
        }
    }

    private companion object {
        val SEEDS = 1..5
        const val DAEMONS = 19
        const val SLOW_ENGINE_EVERY = 5
        const val SLOWNESS = 4.0
    }
}
