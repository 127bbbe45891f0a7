package yuccaferry.decisions.forward

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FinalAnswerTest {
    private val rejected = AttemptEnd.Rejected(503)
    private val broken = AttemptEnd.Broken("reset")

    private fun statusAfter(vararg ends: AttemptEnd) = finalAnswer(ends.toList(), retryAfterMillis = 100).status

    @Nested
    inner class `when every attempt proves that the request did not run` {
        @Test
        fun `the answer says so and when to retry`() {
            assertEquals(FinalAnswer.NotRun(retryAfterMillis = 100), finalAnswer(listOf(AttemptEnd.NotSent, rejected), 100))
        }

        @Test
        fun `an empty list of attempts proves it too`() {
            assertEquals(503, statusAfter())
        }
    }

    @Nested
    inner class `when any attempt may have run the request` {
        @Test
        fun `a later rejection does not prove that it did not run`() {
            assertEquals(502, statusAfter(broken, rejected))
            assertEquals(504, statusAfter(AttemptEnd.TimedOut, AttemptEnd.NotSent))
        }

        @Test
        fun `an answer that is not passed on counts as run`() {
            assertEquals(502, statusAfter(AttemptEnd.Answered(500)))
        }

        @Test
        fun `a timeout has another status than a broken connection`() {
            assertEquals(504, statusAfter(broken, AttemptEnd.TimedOut))
            assertEquals(502, statusAfter(broken))
        }
    }

    @Nested
    inner class `another attempt` {
        private val notRun = listOf(AttemptEnd.NotSent, rejected)
        private val mayHaveRun = listOf(broken, AttemptEnd.TimedOut, AttemptEnd.Answered(500))

        @Test
        fun `is allowed for any request when it has not run`() {
            assertTrue(notRun.all { mayRetry(it, idempotent = false) })
        }

        @Test
        fun `is allowed only for an idempotent request when it may have run`() {
            assertTrue(mayHaveRun.all { mayRetry(it, idempotent = true) })
            assertFalse(mayHaveRun.any { mayRetry(it, idempotent = false) })
        }
    }
}
