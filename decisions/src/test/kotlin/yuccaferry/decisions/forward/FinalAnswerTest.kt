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
    inner class `when every attempt proves that nothing ran` {
        @Test
        fun `the caller is told so and when to come back`() {
            assertEquals(FinalAnswer.NotRun(retryAfterMillis = 100), finalAnswer(listOf(AttemptEnd.NotSent, rejected), 100))
        }

        @Test
        fun `no attempt at all proves it too`() {
            assertEquals(503, statusAfter())
        }
    }

    @Nested
    inner class `when any attempt may have run` {
        @Test
        fun `a later rejection does not make it a promise`() {
            assertEquals(502, statusAfter(broken, rejected))
            assertEquals(504, statusAfter(AttemptEnd.TimedOut, AttemptEnd.NotSent))
        }

        @Test
        fun `a whole answer that is not passed on has run`() {
            assertEquals(502, statusAfter(AttemptEnd.Answered(500)))
        }

        @Test
        fun `silence is told apart from a broken connection`() {
            assertEquals(504, statusAfter(broken, AttemptEnd.TimedOut))
            assertEquals(502, statusAfter(broken))
        }
    }

    @Nested
    inner class `another attempt` {
        private val proofs = listOf(AttemptEnd.NotSent, rejected)
        private val doubts = listOf(broken, AttemptEnd.TimedOut, AttemptEnd.Answered(500))

        @Test
        fun `is allowed to any request that has not run`() {
            assertTrue(proofs.all { mayTryAgain(it, idempotent = false) })
        }

        @Test
        fun `is allowed only to idempotent requests that may have run`() {
            assertTrue(doubts.all { mayTryAgain(it, idempotent = true) })
            assertFalse(doubts.any { mayTryAgain(it, idempotent = false) })
        }
    }
}
