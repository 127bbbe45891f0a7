/*
 * A caller receives the whole answer to its own request. A daemon never passes on an answer with missing, repeated or late
 * pieces or pieces of another request, and never marks a truncated answer as complete.
 */
package yuccaferry.integration

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import java.io.IOException
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private const val DEADLINE_MILLIS = 4_000L
private const val CONCURRENT = 8

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AnswerIntegrityTest {
    private val fleet = SharedFleet.fleet
    private val caller = Caller(fleet.daemons.first().callers)

    @AfterEach
    fun clearFaults() {
        fleet.clearFaults()
        fleet.awaitNoMemoryHeld()
    }

    /** Sends concurrent prompts, streamed and not, while one engine has [fault], and checks that every answer is whole. */
    private fun assertAllWhole(fault: String) =
        fleet.untilFaultIsHit(fault) { round ->
            val answers =
                (1..CONCURRENT)
                    .map { i ->
                        CompletableFuture.supplyAsync {
                            val prompt = "$fault, round $round, prompt $i"
                            if (i % 2 == 0) caller.stream(prompt) else caller.completion(prompt)
                        }
                    }.map { it.get() }
            assertEquals(emptyList(), answers.filterNot { it.whole }.map { "$it" })
        }

    @Nested
    inner class `while another engine is healthy, every answer is whole when one engine` {
        @Test
        fun `drops a piece`() = assertAllWhole("""{"drop_piece":4}""")

        @Test
        fun `repeats a piece`() = assertAllWhole("""{"duplicate_piece":4}""")

        @Test
        fun `sends the pieces of another request`() = assertAllWhole("""{"cross_request_ids":true}""")

        @Test
        fun `ends its answers early without a finish`() = assertAllWhole("""{"truncate":6}""")

        @Test
        fun `sends late answers to requests that were moved to another engine`() = assertAllWhole("""{"late_ms":${STALL_MILLIS + 1_000}}""")
    }

    @Nested
    inner class `an answer that can't be completed` {
        private fun failingAnswer(
            fault: String,
            send: (String) -> Answer,
        ): Answer {
            fleet.proxiedEngines.forEach { it.engine.setFaults(fault) }
            val answer = send("all engines have $fault")
            assertFalse(answer.complete, "$answer")
            assertNotNull(answer.error, "$answer")
            assertTrue(answer.isExactPrefix, "$answer")
            return answer
        }

        @Test
        fun `is an error in the stream when it was cut short`() {
            failingAnswer("""{"truncate":3}""") { caller.stream(it, deadlineMillis = DEADLINE_MILLIS) }
        }

        @Test
        fun `is an error and no text when it was asked for in one body`() {
            val answer = failingAnswer("""{"truncate":3}""") { caller.completion(it, deadlineMillis = DEADLINE_MILLIS) }
            assertEquals("", answer.text.toString())
        }

        @Test
        fun `has no piece of another request`() {
            val answer = failingAnswer("""{"cross_request_ids":true}""") { caller.stream(it, deadlineMillis = DEADLINE_MILLIS) }
            assertEquals("", answer.text.toString())
        }
    }

    @Nested
    inner class `an answer of a plain service` {
        @Test
        fun `that is cut short is not passed on as a success`() {
            fleet.plainService.setFaults("""{"cut_answer":true}""")
            val headers = mapOf("Authorization" to "Bearer $API_KEY")
            val status =
                try {
                    HttpCalls.get(fleet.daemons.first().callers, "/services/$SERVICE/route", headers).statusCode()
                } catch (_: IOException) {
                    null
                }
            assertTrue(status != 200, "a truncated answer was passed on with status $status")
        }
    }
}
