/*
 * Guards against incomplete or wrong answers when an engine fails: an admitted prompt gets its whole answer while another
 * engine can take over, and otherwise fails before its deadline with an error whose execution state is correct.
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
    fun clearFaults() {
        fleet.clearFaults()
        fleet.awaitNoMemoryHeld()
    }

    /** Waits for an engine that runs a request and returns it. */
    private fun busyEngine(): ProxiedEngine {
        var busy: ProxiedEngine? = null
        eventually("an engine runs the request") {
            busy = fleet.proxiedEngines.firstOrNull { it.engine.stats().running > 0 }
            busy != null
        }
        return checkNotNull(busy)
    }

    /** Streams a long answer and, after 5 pieces, calls [disrupt] with the engine that runs it. */
    private fun streamAndDisrupt(
        prompt: String,
        disrupt: (ProxiedEngine) -> Unit,
    ): Answer {
        fleet.fillRetryBudget()
        return caller.stream(prompt, MANY_PIECES) { received ->
            if (received == 5) disrupt(busyEngine())
            true
        }
    }

    private fun streamsWithFault(fault: String) =
        fleet.untilFaultIsHit(fault) { round ->
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
            val answer = streamAndDisrupt("crash") { it.engine.setFaults("""{"crash":true}""") }
            assertTrue(answer.whole, "$answer")
        }

        @Test
        fun `slows down until it counts as hung`() {
            val answer = streamAndDisrupt("slow") { it.engine.setFaults("""{"slow_factor":10000}""") }
            assertTrue(answer.whole, "$answer")
        }

        @Test
        fun `is cut off in mid stream, and the engine is freed once it can be reached`() {
            val answer = streamAndDisrupt("cut") { it.proxy.setFaults("""{"cut":true}""") }
            assertTrue(answer.whole, "$answer")
        }

        @Test
        fun `is behind a frozen connection`() {
            val answer = streamAndDisrupt("freeze") { it.proxy.setFaults("""{"freeze":true}""") }
            assertTrue(answer.whole, "$answer")
        }
    }

    @Nested
    inner class `without another engine, a request fails before its deadline when all` {
        private fun failingAnswer(fault: String): Answer {
            fleet.fillRetryBudget()
            fleet.proxiedEngines.forEach { it.engine.setFaults(fault) }
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
        fun `break in mid stream, and the text received is an exact prefix of the answer`() {
            val answer = failingAnswer("""{"die_after_pieces":3}""")
            assertTrue(answer.isExactPrefix, "$answer")
            assertEquals("ran", answer.execution)
        }
    }
}
