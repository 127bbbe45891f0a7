// A caller that disconnects, at any stage of its request, has the request cancelled at the engine.
package yuccaferry.integration

import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

private const val MANY_PIECES = 100_000
private val BOUND = 5.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerLeavingTest {
    private val fleet = SharedFleet.fleet
    private val caller = Caller(fleet.daemons.first().callers)

    private fun stats() = fleet.proxiedEngines.map { it.engine.stats() }

    private fun cancelled() = stats().sumOf { s -> s.requests.values.sumOf { r -> r.endings.count { it == "cancelled" } } }

    private fun assertCancelled(before: Int) {
        eventually("the request is cancelled at its engine", BOUND) { cancelled() == before + 1 }
        assertEquals(0, stats().sumOf { it.kvHeldTokens })
    }

    @Test
    fun `in mid stream`() {
        val before = cancelled()
        caller.stream("leaves in mid stream", MANY_PIECES) { received -> received < 3 }
        assertCancelled(before)
    }

    @Test
    fun `before the first piece`() {
        val before = cancelled()
        val call = caller.startCompletion("x".repeat(80_000), MANY_PIECES, stream = true)
        eventually("an engine holds the request", BOUND) { stats().any { it.kvHeldTokens > 0 } }
        call.cancel(true)
        assertCancelled(before)
    }

    @Test
    fun `while the answer is collected into one body`() {
        val before = cancelled()
        val call = caller.startCompletion("leaves a whole answer", MANY_PIECES, stream = false)
        eventually("an engine holds the request", BOUND) { stats().any { it.kvHeldTokens > 0 } }
        call.cancel(true)
        assertCancelled(before)
    }
}
