package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.LoadReports
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.ReportedLoad
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * A burst of short prompts after one of longer prompts, at engines that daemons of three zones share. Daemons know what those of their own
 * zone sent. Attempts without a first event are given up after a second, and the engines go on with them. Seeds are printed.
 */
class UnseenWorkTest {
    private val figures =
        EngineFigures(
            slots = 8,
            memoryTokens = 232_000,
            stepMillis = 1.02,
            stepMillisPerSequence = 0.00226,
            contextMillisPerThousand = 0.00431,
            prefillTokensPerMillisecond = 206.0,
            pairMillisPerMillion = 0.138,
            chunkTokens = 2_048,
            stepsPerPass = 48,
        )
    private val placement = StreamPlacement(EngineModel(figures))
    private val run = Incarnation("1")
    private val short = PromptKind({ if (it in BURST) 40.0 else 12.0 }, 4_960.0, 0.9, 23_800, 31.0, targetMillis = 304)
    private val medium = PromptKind({ if (it < BURST.start) 2.0 else 0.7 }, 40_000.0, 0.4, 65_000, 18.0, targetMillis = 1_500)

    private class Result(
        val outcomes: List<Outcome>,
        val believedShare: Double,
        val sends: Int,
    )

    /** Plays 20 s. Daemons believe what they sent and didn't give up, and with [joinsReports] what engines state in answers too. */
    private fun play(
        seed: Int,
        joinsReports: Boolean,
    ): Result {
        val reports = List(ZONES) { LoadReports() }
        val abandoned = HashSet<EmulatedSend>()
        var believed = 0.0
        var actual = 0.0
        lateinit var zone: EmulatedZone

        fun known(
            engine: Int,
            from: Int,
        ) = zone.sends.count {
            it.engine == engine && it.arrival.daemon % ZONES == from && it !in abandoned && it.request.written < it.request.events
        }

        fun activeAt(
            engine: Int,
            id: TargetId,
            view: ZoneView,
        ): Int {
            val from = view.daemon % ZONES
            return known(engine, from) + if (joinsReports) reports[from].unaccounted(id, run, time(view.now)).toInt() else 0
        }

        val policy =
            ZonePolicy { prompt, view, random ->
                val engines = view.engines.mapIndexed { index, load -> load.copy(active = activeAt(index, load.id, view)) }
                if (view.now in BURST) {
                    believed += engines.sumOf { it.active }
                    actual += zone.engines.sumOf { it.active }
                }
                place(prompt, ZoneView(engines, view.shortRequests, view.now), random, freeSlots = if (joinsReports) 2 else 1)
            }
        zone = EmulatedZone(figures, ENGINES, viewAgeMillis = 0.0, policy, seed)
        zone.queueLimit = QUEUE_LIMIT
        zone.daemonShares = List(DAEMONS) { 1.0 / (UNEVENNESS + it) }
        // With reports, an engine that answers others isn't given up; none of these ever stalls.
        if (!joinsReports) zone.timeoutMillis = TIMEOUT_MILLIS
        zone.onSignal = { signal ->
            val engine = signal.send.engine
            if (signal.isFailure) abandoned += signal.send
            val active = zone.engines[engine].active
            val load = ReportedLoad(minOf(active, figures.slots), maxOf(0, active - figures.slots), figures.slots)
            val from = signal.send.arrival.daemon % ZONES
            reports[from].record(TargetId("engine-%03d".format(engine)), run, load, known(engine, from), time(signal.now))
        }
        val outcomes = zone.play(listOf(short, medium), lengthMillis = 20_000.0)
        return Result(outcomes, believed / actual, zone.sends.size)
    }

    private fun place(
        prompt: Prompt,
        view: ZoneView,
        random: Random,
        freeSlots: Int,
    ): StreamPlan? {
        val pool = ShortPool.of(view.shortRequests, view.engines.size, figures.slots)
        val isLong = placement.isLong(prompt.promptTokens)
        val sampled = if (isLong) emptyList() else pool.sample(view.engines, random)
        val first = placement.place(prompt, sampled, random.nextDouble())
        if (first != null && placement.isUncontended(prompt, first, freeSlots)) return first
        return placement.place(prompt, if (isLong) view.engines else sampled + pool.widen(view.engines, random), random.nextDouble())
    }

    private fun time(millis: Double) = MonotonicTime(millis.toLong())

    private fun Result.onTimeIn(window: ClosedFloatingPointRange<Double>): Double =
        outcomes.filter { it.arrivalMillis in window }.onTimeShare(short)

    @Test
    fun `what engines state corrects the belief, more prompts are on time, and the overload ends with the burst`() {
        for (seed in SEEDS) {
            val without = play(seed, joinsReports = false)
            val with = play(seed, joinsReports = true)
            println(
                "seed=$seed believed=${without.believedShare} -> ${with.believedShare} sends=${without.sends} -> ${with.sends} " +
                    "burst=${without.onTimeIn(
                        BURST,
                    )} -> ${with.onTimeIn(BURST)} after=${without.onTimeIn(AFTER)} -> ${with.onTimeIn(AFTER)}",
            )
            assertTrue(with.believedShare > without.believedShare, "believed ${with.believedShare}, seed $seed")
            assertTrue(with.onTimeIn(BURST) > without.onTimeIn(BURST), "in the burst ${with.onTimeIn(BURST)}, seed $seed")
            assertTrue(with.onTimeIn(AFTER) >= REQUIRED_SHARE, "after the burst ${with.onTimeIn(AFTER)}, seed $seed")
        }
    }

    private companion object {
        val SEEDS = 1..5
        const val ENGINES = 12
        const val ZONES = 3
        const val DAEMONS = 36
        const val UNEVENNESS = 4.0
        const val QUEUE_LIMIT = 17
        const val TIMEOUT_MILLIS = 1_000.0
        const val REQUIRED_SHARE = 0.95
        val BURST = 4_000.0..13_500.0

        /** The overload is to be over within two seconds of the burst. */
        val AFTER = 15_500.0..20_000.0
    }
}
