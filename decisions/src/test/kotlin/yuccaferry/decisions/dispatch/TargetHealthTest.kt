package yuccaferry.decisions.dispatch

import org.junit.jupiter.api.Nested
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TargetHealthTest {
    private val health = TargetHealth()
    private val target = TargetId("t")
    private val run = Incarnation("1")
    private val start = MonotonicTime(10_000)

    private fun penalty(
        millisLater: Long = 0,
        of: Incarnation = run,
    ) = health.penaltyMillis(target, of, start + millisLater)

    @Nested
    inner class `a target whose first event comes late` {
        private fun recordLate(load: ReportedLoad?) =
            health.recordFirstEvent(target, run, predictedMillis = 80.0, observedMillis = 900.0, start, load)

        @Test
        fun `gets a penalty when it had free slots`() {
            recordLate(ReportedLoad(running = 3, waiting = 0, slots = 8))
            assertEquals(640.0, penalty())
        }

        @Test
        fun `gets a penalty when it states no load`() {
            recordLate(load = null)
            assertEquals(640.0, penalty())
        }

        @Test
        fun `gets none when its queue explains the delay, so that it isn't avoided after the queue is gone`() {
            recordLate(ReportedLoad(running = 8, waiting = 5, slots = 8))
            recordLate(ReportedLoad(running = 7, waiting = 0, slots = 8))
            assertEquals(0.0, penalty())
        }
    }

    @Nested
    inner class `a target that breaks off an answer` {
        @Test
        fun `gets a penalty that decays`() {
            health.recordFailure(target, run, TargetHealth.BROKEN_MILLIS, start)
            assertEquals(3_000.0, penalty())
            assertEquals(750.0, penalty(millisLater = 3_000))
        }

        @Test
        fun `gets a small penalty when it has just answered others`() {
            health.recordSuccess(target, run, start + -1_000)
            health.recordFailure(target, run, TargetHealth.BROKEN_MILLIS, start)
            assertEquals(450.0, penalty())
        }

        @Test
        fun `gets the full penalty when its last answer is old`() {
            health.recordSuccess(target, run, start + -3_000)
            health.recordFailure(target, run, TargetHealth.BROKEN_MILLIS, start)
            assertEquals(3_000.0, penalty())
        }
    }

    @Test
    fun `a target that can't be reached gets the full penalty even if it has just answered`() {
        health.recordSuccess(target, run, start)
        health.recordFailure(target, run, TargetHealth.UNREACHABLE_MILLIS, start)
        assertEquals(6_000.0, penalty())
    }

    @Test
    fun `a new run of a target starts without a penalty`() {
        health.recordFailure(target, run, TargetHealth.BROKEN_MILLIS, start)
        assertEquals(0.0, penalty(of = Incarnation("2")))
        assertTrue(penalty() > 0)
    }

    @Nested
    inner class `a target whose first events are late` {
        @Test
        fun `gets what exceeds the usual error as a penalty`() {
            health.recordFirstEvent(target, run, predictedMillis = 100.0, observedMillis = 700.0, start)
            assertEquals(400.0, penalty())
        }

        @Test
        fun `gets no penalty within the usual error`() {
            health.recordFirstEvent(target, run, predictedMillis = 100.0, observedMillis = 290.0, start)
            assertEquals(0.0, penalty())
        }

        @Test
        fun `is trusted again after an event on time`() {
            repeat(3) { health.recordFirstEvent(target, run, predictedMillis = 100.0, observedMillis = 700.0, start) }
            health.recordFirstEvent(target, run, predictedMillis = 100.0, observedMillis = 120.0, start + 100)
            assertEquals(0.0, penalty(millisLater = 100))
        }

        @Test
        fun `is tried again within seconds however late its events were`() {
            repeat(30) { health.recordFirstEvent(target, run, predictedMillis = 100.0, observedMillis = 9_000.0, start) }
            assertTrue(penalty(millisLater = 12_000) < 150)
        }
    }

    @Test
    fun `reports the highest penalties to peers`() {
        health.recordFailure(target, run, TargetHealth.BROKEN_MILLIS, start)
        health.recordFirstEvent(TargetId("u"), run, predictedMillis = 100.0, observedMillis = 310.0, start)
        assertEquals(listOf(TargetPenalty(target, run, 3_000.0)), health.reportable(start))
    }
}
