/*
 * An admitted prompt is answered whole while another engine can take over, and otherwise fails before its deadline
 * with an error that is true, whatever becomes of the engine that it runs on.
 */
package yuccaferry.integration

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val MANY_PIECES = 150
private const val DEADLINE_MILLIS = 4_000L
private const val SCHEDULING_SLACK_MILLIS = 2_000L
private const val NANOS_PER_MILLI = 1_000_000L

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineFailureTest {
    private val fleet = SharedFleet.fleet
    private val caller = Caller(fleet.daemons.first().callers)

    @AfterEach
    fun heal() {
        fleet.heal()
        fleet.awaitNothingHeld()
    }

    /** The site whose engine runs a request now. */
    private fun busySite(): EngineSite {
        var busy: EngineSite? = null
        eventually("an engine runs the request") {
            busy = fleet.sites.firstOrNull { it.engine.stats().running > 0 }
            busy != null
        }
        return checkNotNull(busy)
    }

    /** Streams a long answer and does [harm] to the engine that runs it, after some pieces. */
    private fun streamAndHarm(
        prompt: String,
        harm: (EngineSite) -> Unit,
    ): Answer {
        fleet.earnRetries()
        return caller.stream(prompt, MANY_PIECES) { received ->
            if (received == 5) harm(busySite())
            true
        }
    }

    private fun streamsWithFault(fault: String) =
        fleet.untilFaultIsMet(fault) { round ->
            val answer = caller.stream("fault $fault, prompt $round")
            assertTrue(answer.whole, "prompt $round: $answer")
        }

    @Nested
    inner class `with another engine, the answer is whole when one` {
        @Test
        fun `hangs before the first piece`() = streamsWithFault("""{"hang":true}""")

        @Test
        fun `breaks the connection at the end of prefill`() = streamsWithFault("""{"die_after_pieces":0}""")

        @Test
        fun `breaks the connection in mid stream`() = streamsWithFault("""{"die_after_pieces":7}""")

        @Test
        fun `crashes in mid stream`() {
            val answer = streamAndHarm("crash") { it.engine.faults("""{"crash":true}""") }
            assertTrue(answer.whole, "$answer")
        }

        @Test
        fun `slows down until it counts as hung`() {
            val answer = streamAndHarm("slow") { it.engine.faults("""{"slow_factor":10000}""") }
            assertTrue(answer.whole, "$answer")
        }

        @Test
        fun `is cut off in mid stream, and the engine is freed once it can be reached`() {
            val answer = streamAndHarm("cut") { it.proxy.faults("""{"cut":true}""") }
            assertTrue(answer.whole, "$answer")
        }

        @Test
        fun `is behind a frozen connection`() {
            val answer = streamAndHarm("freeze") { it.proxy.faults("""{"freeze":true}""") }
            assertTrue(answer.whole, "$answer")
        }
    }

    @Nested
    inner class `without another engine, a request fails before its deadline when all` {
        private fun failingAnswer(fault: String): Answer {
            fleet.earnRetries()
            fleet.sites.forEach { it.engine.faults(fault) }
            val started = System.nanoTime()
            val answer = caller.stream("no engine, $fault", deadlineMillis = DEADLINE_MILLIS)
            val millis = (System.nanoTime() - started) / NANOS_PER_MILLI
            assertTrue(millis < DEADLINE_MILLIS + SCHEDULING_SLACK_MILLIS, "took $millis ms")
            assertFalse(answer.complete, "$answer")
            assertNotNull(answer.error, "$answer")
            return answer
        }

        @Test
        fun `hang`() {
            val answer = failingAnswer("""{"hang":true}""")
            assertTrue(answer.execution in setOf("unknown", "ran"), "$answer")
        }

        @Test
        fun `break in mid stream, and what was given is the true start of the answer`() {
            val answer = failingAnswer("""{"die_after_pieces":3}""")
            assertTrue(answer.truePrefix, "$answer")
            assertEquals("ran", answer.execution)
        }
    }
}
