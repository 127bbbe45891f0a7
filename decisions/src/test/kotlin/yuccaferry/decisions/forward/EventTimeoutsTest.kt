package yuccaferry.decisions.forward

import yuccaferry.decisions.routing.RequestKind
import yuccaferry.decisions.routing.Route
import yuccaferry.decisions.routing.TrafficShare
import yuccaferry.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventTimeoutsTest {
    private fun route(
        targetLatencyMillis: Long,
        targetGapMillis: Long,
    ) = Route(
        name = "r",
        host = "h",
        prefix = "/",
        kind = RequestKind.Stream(resumable = true, targetGapMillis),
        shares = listOf(TrafficShare(ServiceName("s"), 1.0)),
        timeoutMillis = 10_000,
        targetLatencyMillis = targetLatencyMillis,
        maxAttempts = 2,
        priority = 0,
        isPublic = true,
    )

    @Test
    fun `a short prompt's engine is replaced in time for a second one to answer before its caller leaves`() {
        val timeout = firstEventTimeoutMillis(predictedMillis = 110, route(targetLatencyMillis = 400, targetGapMillis = 300))
        assertEquals(1_200, timeout)
    }

    @Test
    fun `an engine that is predicted to be late is waited for`() {
        val timeout = firstEventTimeoutMillis(predictedMillis = 900, route(targetLatencyMillis = 400, targetGapMillis = 300))
        assertTrue(timeout >= 3 * 900)
    }

    @Test
    fun `an engine that answers others is waited for, because a second try would only add to its load`() {
        val route = route(targetLatencyMillis = 304, targetGapMillis = 250)
        assertTrue(firstEventTimeoutMillis(predictedMillis = 80, route, answersOthers = true) > CALLERS_WAIT_MILLIS)
        assertTrue(firstEventTimeoutMillis(predictedMillis = 80, route, answersOthers = false) <= CALLERS_WAIT_MILLIS / 2)
    }

    @Test
    fun `a long prompt's engine has several times the predicted time`() {
        val timeout = firstEventTimeoutMillis(predictedMillis = 2_500, route(targetLatencyMillis = 4_000, targetGapMillis = 1_200))
        assertTrue(timeout >= 3 * 2_500)
    }

    private companion object {
        /** Milliseconds after which callers with short prompts leave a stream without an event. */
        const val CALLERS_WAIT_MILLIS = 2_000L
    }
}
