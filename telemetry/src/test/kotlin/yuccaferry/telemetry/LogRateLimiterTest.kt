package yuccaferry.telemetry

import yuccaferry.telemetry.LogRateLimiter.Decision
import kotlin.test.Test
import kotlin.test.assertEquals

class LogRateLimiterTest {
    private val limiter = LogRateLimiter(linesPerSecond = 10.0, burstLines = 3.0)

    @Test
    fun `admits a burst and drops the lines beyond it`() {
        val decisions = List(5) { limiter.admit(nowMillis = 0) }
        assertEquals(List(3) { Decision.Admitted(0) } + List(2) { Decision.Dropped }, decisions)
    }

    @Test
    fun `reports with the next line how many were dropped`() {
        repeat(5) { limiter.admit(nowMillis = 0) }
        assertEquals(Decision.Admitted(droppedBefore = 2), limiter.admit(nowMillis = 100))
        assertEquals(Decision.Admitted(droppedBefore = 0), limiter.admit(nowMillis = 200))
    }

    @Test
    fun `admits the steady rate`() {
        repeat(3) { limiter.admit(nowMillis = 0) }
        val admitted = (1..100).count { limiter.admit(nowMillis = it * 50L) is Decision.Admitted }
        assertEquals(50, admitted)
    }
}
