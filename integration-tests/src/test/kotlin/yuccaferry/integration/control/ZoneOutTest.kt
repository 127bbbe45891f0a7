// Takes a zone out of service under load, and runs load through an outage of the key-value service.
package yuccaferry.integration.control

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import yuccaferry.integration.Fleet
import yuccaferry.integration.eventually
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Seconds after which a zone that was taken out receives no new work. */
private const val OUT_BOUND_SECONDS = 5L

/** Seconds of the outage: longer than a lease of the fleet's daemons. */
private const val OUTAGE_SECONDS = 12L

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ZoneOutTest {
    private val fleet = Fleet(daemonCount = 3)

    @AfterAll
    fun stop() = fleet.close()

    private fun load() = SteadyLoad(callers = 8, pieces = 30) { fleet.daemons.map { it.callers } }

    /** Waits for [seconds] while the load runs; a fixed wait, as the tests check states after a given time. */
    private fun waitSeconds(seconds: Long) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
        eventually("$seconds s have passed", (seconds + 1).seconds) { System.nanoTime() >= until }
    }

    @Nested
    inner class `a zone that is taken out` {
        @Test
        fun `gets no new work after five seconds, loses none in progress, and serves again when it is back`() {
            val load = load()
            val (out, other) = fleet.proxiedEngines
            eventually("both zones serve", 30.seconds) { fleet.proxiedEngines.all { it.engine.stats().finished > 5 } }
            fleet.setZone(out.zone, out = true)
            waitSeconds(OUT_BOUND_SECONDS)
            val atBound = out.engine.stats().accepted
            val otherAtBound = other.engine.stats().finished
            eventually("the other zone serves on", 30.seconds) { other.engine.stats().finished > otherAtBound + 20 }
            assertEquals(atBound, out.engine.stats().accepted)
            fleet.setZone(out.zone, out = false)
            eventually("the zone serves again", 30.seconds) { out.engine.stats().accepted > atBound }
            val answers = load.stop()
            assertEquals(emptyList(), answers.filterNot { it.whole }, "of ${answers.size}")
        }
    }

    @Nested
    inner class `an outage of the key-value service that outlasts every lease` {
        @Test
        fun `fails no prompt`() {
            val load = load()
            eventually("the load runs", 30.seconds) { load.successes > 10 }
            fleet.keyValue.setFaults("""{"outage":true}""")
            waitSeconds(OUTAGE_SECONDS)
            val served = load.successes
            eventually("prompts are answered late in the outage", 10.seconds) { load.successes > served + 10 }
            fleet.keyValue.clearFaults()
            waitSeconds(OUT_BOUND_SECONDS)
            val after = load.successes
            eventually("prompts are answered after the outage", 10.seconds) { load.successes > after + 10 }
            val answers = load.stop()
            assertEquals(emptyList(), answers.filterNot { it.whole }, "of ${answers.size}")
            assertTrue(answers.isNotEmpty())
        }
    }
}
