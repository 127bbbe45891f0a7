package yuccaferry.decisions.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

/** A third of the engines restarts or recovers at once and is slow for some seconds; fixed seeds, printed with each row. */
class YoungEnginesTest {
    private var short = LargeSite.short { 37.0 }

    /** Figures of one play, of the prompts that arrive in the seconds after the engines are back. */
    private class Row(
        val policy: String,
        val onTime: Double,
        val p95Millis: Double,
        val sendsInFirstSecond: Double,
        val secondsToShare: Double,
    ) {
        override fun toString() =
            "%-9s on_time=%.3f p95_ms=%.0f first_second=%.1f seconds_to_share=%.1f"
                .format(policy, onTime, p95Millis, sendsInFirstSecond, secondsToShare)
    }

    private fun pacer(
        policy: String,
        zone: EmulatedZone,
        delayMillis: Double,
        daemons: Int,
    ): ZonePacer =
        when (policy) {
            "none" -> NoPacer
            "pace" -> SharedPacer(zone, daemons, minOf(NEAR, daemons - 1), delayMillis)
            "additive" -> CentralPacer.additive()
            "gradient" -> CentralPacer.gradient()
            "pid" -> CentralPacer.pid()
            else -> error("expected a policy, found $policy")
        }

    private fun play(
        policy: String,
        delayMillis: Double,
        seed: Int,
        daemons: Int,
        disturb: (ZoneDaemons, Int) -> Unit,
    ): Row {
        val playing = ZoneDaemons(daemons, ENGINES, delayMillis, seed, { pacer(policy, it, delayMillis, daemons) })
        val disturbed = (0 until ENGINES step DISTURBED_EVERY).toSet()
        disturbed.forEach { disturb(playing, it) }
        val outcomes = playing.zone.play(listOf(short), END)
        val after = outcomes.filter { it.arrivalMillis in BACK..BACK + WINDOW }
        val firsts = after.map { it.firstMillis ?: Double.MAX_VALUE }.sorted()
        val first = playing.zone.sends.count { it.engine in disturbed && it.sentMillis in BACK..BACK + 1_000 }
        return Row(
            policy,
            after.onTimeShare(short),
            firsts[(firsts.size * 0.95).toInt()],
            first.toDouble() / disturbed.size,
            secondsToShare(playing.zone.sends, disturbed),
        )
    }

    /** Seconds until the engines get, in one second, four fifths of the share that they had before. */
    private fun secondsToShare(
        sends: List<EmulatedSend>,
        engines: Set<Int>,
    ): Double {
        fun shareIn(span: ClosedFloatingPointRange<Double>): Double {
            val all = sends.filter { it.sentMillis in span }
            return all.count { it.engine in engines }.toDouble() / maxOf(1, all.size)
        }
        val usual = shareIn(2_000.0..DISTURBANCE)
        val steps = generateSequence(0.0) { it + 100 }.takeWhile { BACK + it + 1_000 <= END }
        return (steps.firstOrNull { shareIn(BACK + it..BACK + it + 1_000) >= usual * 0.8 } ?: END) / 1_000
    }

    private val restart = { zone: ZoneDaemons, engine: Int -> zone.restart(engine, DISTURBANCE, BACK - DISTURBANCE, SLOWNESS, SLOW_MILLIS) }
    private val freeze = { zone: ZoneDaemons, engine: Int -> zone.freeze(engine, DISTURBANCE, BACK - DISTURBANCE, SLOWNESS, SLOW_MILLIS) }

    private val halt = { zone: ZoneDaemons, engine: Int -> zone.freeze(engine, DISTURBANCE, BACK - DISTURBANCE, 1.0, SLOW_MILLIS) }
    private val grey = { zone: ZoneDaemons, engine: Int -> zone.failSometimes(engine, 0.3) }

    @Test
    fun `trial table`() {
        for ((name, disturb) in mapOf("restart" to restart, "halt" to halt, "freeze" to freeze, "grey" to grey)) {
            for (daemons in listOf(12, 40)) {
                for ((delay, rate) in listOf(5.0 to 37.0, 30.0 to 37.0, 100.0 to 37.0, 30.0 to 60.0)) {
                    short = LargeSite.short { rate }
                    for (policy in listOf("none", "pace", "additive", "gradient", "pid")) {
                        val rows = (1..5).map { play(policy, delay, it, daemons, disturb) }
                        val mean = Row(
                            policy,
                            rows.map { it.onTime }.average(),
                            rows.map { it.p95Millis }.average(),
                            rows.map { it.sendsInFirstSecond }.average(),
                            rows.map { it.secondsToShare }.average(),
                        )
                        println("$name daemons=$daemons delay=$delay rate=$rate $mean")
                    }
                }
            }
        }
    }

    private companion object {
        const val ENGINES = 24
        const val NEAR = 20
        const val DISTURBED_EVERY = 3
        const val DISTURBANCE = 6_000.0
        const val BACK = 8_000.0
        const val WINDOW = 6_000.0
        const val END = 20_000.0
        const val SLOWNESS = 6.0
        const val SLOW_MILLIS = 4_000.0
    }
}
