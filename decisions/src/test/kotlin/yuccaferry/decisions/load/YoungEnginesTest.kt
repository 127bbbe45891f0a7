package yuccaferry.decisions.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

/** A third of the engines of a zone is disturbed at once and slow for some seconds afterwards; each row is printed with its seed. */
class YoungEnginesTest {
    /** Outcome of one play: of the prompts that arrive in the seconds after the engines are back, and of what those engines get. */
    private class Row(
        val onTime: Double,
        val p95Millis: Double,
        val sendsInFirstSecond: Double,
        val secondsToShare: Double,
    ) {
        override fun toString() =
            "on_time=%.3f p95_ms=%.0f first_second=%.1f seconds_to_share=%.1f".format(onTime, p95Millis, sendsInFirstSecond, secondsToShare)
    }

    private fun List<Row>.mean() =
        Row(
            map { it.onTime }.average(),
            map { it.p95Millis }.average(),
            map { it.sendsInFirstSecond }.average(),
            map { it.secondsToShare }.average(),
        )

    /** A zone with [daemons] that receive [perSecond] prompts and know what others do after [delayMillis]. */
    private inner class Setup(
        private val disturbance: String,
        private val daemons: Int,
        val delayMillis: Double,
        perSecond: Double,
    ) {
        private val short = LargeSite.short { perSecond }
        private val name = "$disturbance daemons=$daemons delay_ms=%.0f per_second=%.0f".format(delayMillis, perSecond)

        /** Returns a row for each seed; plays are the same each time, so each is played once. */
        fun rows(policy: String): List<Row> =
            PLAYED.getOrPut("$name policy=$policy") {
                SEEDS.map { seed -> play(policy, seed).also { println("$name policy=$policy seed=$seed $it") } }.also {
                    println("$name policy=$policy mean ${it.mean()}")
                }
            }

        private fun play(
            policy: String,
            seed: Int,
        ): Row {
            val playing = ZoneDaemons(daemons, ENGINES, delayMillis, seed) { zone -> pacer(policy, zone) }
            val disturbed = (0 until ENGINES step DISTURBED_EVERY).toSet()
            disturbed.forEach { disturb(playing, it) }
            val after = playing.zone.play(listOf(short), END).filter { it.arrivalMillis in BACK..BACK + WINDOW }
            val firsts = after.map { it.firstMillis ?: REFUSED_MILLIS }.sorted()
            val sends = playing.zone.sends
            return Row(
                after.onTimeShare(short),
                firsts[(firsts.size * 0.95).toInt()],
                sends.count { it.engine in disturbed && it.sentMillis in BACK..BACK + 1_000 }.toDouble() / disturbed.size,
                secondsToShare(sends, disturbed),
            )
        }

        private fun disturb(
            daemons: ZoneDaemons,
            engine: Int,
        ) = when (disturbance) {
            RESTART -> daemons.restart(engine, DISTURBANCE, BACK - DISTURBANCE, SLOWNESS, SLOW_MILLIS)
            STALL -> daemons.freeze(engine, DISTURBANCE, BACK - DISTURBANCE, SLOWNESS, SLOW_MILLIS)
            else -> daemons.failSometimes(engine, FAILING_SHARE)
        }

        private fun pacer(
            policy: String,
            zone: EmulatedZone,
        ): ZonePacer =
            when (policy) {
                NONE -> NoPacer
                PACE -> SharedPacer(zone, daemons, minOf(NEAR, daemons - 1), delayMillis)
                ADDITIVE -> CentralPacer.additive()
                GRADIENT -> CentralPacer.gradient()
                else -> CentralPacer.pid()
            }
    }

    /** Seconds until [engines] get, over one second, four fifths of the share of all requests that they had before. */
    private fun secondsToShare(
        sends: List<EmulatedSend>,
        engines: Set<Int>,
    ): Double {
        fun shareIn(span: ClosedFloatingPointRange<Double>): Double {
            val all = sends.filter { it.sentMillis in span }
            return all.count { it.engine in engines }.toDouble() / maxOf(1, all.size)
        }
        val usual = shareIn(SETTLED..DISTURBANCE)
        val steps = generateSequence(0.0) { it + 100 }.takeWhile { BACK + it + 1_000 <= END }
        return (steps.firstOrNull { shareIn(BACK + it..BACK + it + 1_000) >= usual * 0.8 } ?: END) / 1_000
    }

    private fun setups(
        disturbance: String,
        perSecond: Double,
    ) = listOf(12, 40).flatMap { daemons -> listOf(5.0, 30.0, 100.0).map { Setup(disturbance, daemons, it, perSecond) } }

    @Nested
    inner class `engines that restart` {
        @Test
        fun `serve more prompts on time with a limit`() {
            for (setup in setups(RESTART, USUAL_PER_SECOND)) {
                for ((seed, rows) in SEEDS.zip(setup.rows(NONE).zip(setup.rows(PACE)))) {
                    assertTrue(rows.second.onTime > rows.first.onTime, "${rows.second} with, ${rows.first} without a limit, seed $seed")
                }
            }
        }

        @Test
        fun `serve more prompts on time in a burst too, over all seeds`() {
            for (setup in setups(RESTART, BURST_PER_SECOND)) {
                val without = setup.rows(NONE).mean()
                val with = setup.rows(PACE).mean()
                assertTrue(with.onTime > without.onTime, "$with with, $without without a limit, seeds $SEEDS")
            }
        }

        @Test
        fun `carry their share again when they are as fast as before`() {
            for (setup in setups(RESTART, USUAL_PER_SECOND) + setups(RESTART, BURST_PER_SECOND)) {
                val mean = setup.rows(PACE).mean()
                assertTrue(mean.secondsToShare <= SLOW_MILLIS / 1_000 + 1, "$mean, seeds $SEEDS")
            }
        }

        @Test
        fun `serve as many on time as with limits of other kinds that all daemons know at once`() {
            val setups = (setups(RESTART, USUAL_PER_SECOND) + setups(RESTART, BURST_PER_SECOND)).filter { it.delayMillis == 30.0 }
            val shared = setups.flatMap { it.rows(PACE) }.mean()
            for (other in listOf(ADDITIVE, GRADIENT, PID)) {
                val central = setups.flatMap { it.rows(other) }.mean()
                assertTrue(shared.onTime >= central.onTime - TOLERANCE, "$shared, $central with $other, seeds $SEEDS")
            }
        }
    }

    @Nested
    inner class `engines that recover` {
        private fun assertNoLoss(disturbance: String) {
            val setups = setups(disturbance, USUAL_PER_SECOND) + setups(disturbance, BURST_PER_SECOND)
            for (setup in setups.filter { it.delayMillis == 30.0 }) {
                val without = setup.rows(NONE).mean()
                val with = setup.rows(PACE).mean()
                assertTrue(with.onTime >= without.onTime - TOLERANCE, "$with with, $without without a limit, seeds $SEEDS")
            }
        }

        @Test
        fun `serve no fewer prompts on time after they stood still`() = assertNoLoss(STALL)

        @Test
        fun `serve no fewer prompts on time while they fail now and then`() = assertNoLoss(FAIL)
    }

    private companion object {
        val SEEDS = 1..10
        val PLAYED = HashMap<String, List<Row>>()
        const val RESTART = "restart"
        const val STALL = "stall"
        const val FAIL = "fail"
        const val NONE = "none"
        const val PACE = "pace"
        const val ADDITIVE = "additive"
        const val GRADIENT = "gradient"
        const val PID = "pid"

        /** Part of the prompts on time that counts as no difference: one in a hundred. */
        const val TOLERANCE = 0.01
        const val ENGINES = 24

        /** Peers that each daemon tells of short prompts and limits. */
        const val NEAR = 20
        const val DISTURBED_EVERY = 3

        /** Times in ms: from when on the share is measured, the disturbance, its end, the time that is judged after it, and the end. */
        const val SETTLED = 2_000.0
        const val DISTURBANCE = 6_000.0
        const val BACK = 8_000.0
        const val WINDOW = 6_000.0
        const val END = 20_000.0

        /** Factor on an engine's times right after the disturbance, which falls to one in [SLOW_MILLIS]. */
        const val SLOWNESS = 6.0
        const val SLOW_MILLIS = 4_000.0

        /** Share of the requests that a failing engine fails. */
        const val FAILING_SHARE = 0.3

        /** Prompts in a second that fill two fifths of the slots left by the disturbance, and two thirds of them. */
        const val USUAL_PER_SECOND = 37.0
        const val BURST_PER_SECOND = 60.0

        /** Time in ms that counts for a prompt without an answer. */
        const val REFUSED_MILLIS = 10_000.0
    }
}
