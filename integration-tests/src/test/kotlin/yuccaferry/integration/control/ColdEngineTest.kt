/*
 * Sends cold engines more load than they can take, and compares the maximum number of concurrent requests that each
 * engine recorded while cold with its limit.
 */
package yuccaferry.integration.control

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import yuccaferry.integration.Fleet
import yuccaferry.integration.eventually
import yuccaferry.model.EngineLimits
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val COLD_REQUESTS = 2

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ColdEngineTest {
    private val fleet =
        Fleet(
            daemonCount = 3,
            limits = EngineLimits(kvTokens = 400_000, coldRequests = COLD_REQUESTS),
            engineOptions =
                arrayOf(
                    "--cold-requests",
                    "$COLD_REQUESTS",
                    "--warm-after-requests",
                    "20",
                    "--decode-tokens-per-second",
                    "100",
                ),
        )

    @AfterAll
    fun stop() = fleet.close()

    @Test
    fun `many callers at several daemons never overload a cold engine, also after it restarts`() {
        val load = SteadyLoad(callers = 24, pieces = 10) { fleet.daemons.map { it.callers } }
        eventually("both engines are warm", 30.seconds) { fleet.proxiedEngines.all { it.engine.stats().warm } }
        val restarted = fleet.proxiedEngines.first().engine
        restarted.setFaults("""{"crash":true,"times":1}""")
        eventually("the engine has crashed", 10.seconds) { restarted.stats().crashes == 1 }
        eventually("the engine is warm again", 60.seconds) { restarted.stats().warm }
        val answers = load.stop()
        val records = fleet.proxiedEngines.map { it.engine.stats() }
        assertTrue(records.all { it.maxColdRequests <= COLD_REQUESTS }, "most while cold: ${records.map { it.maxColdRequests }}")
        assertEquals(listOf(1, 0), records.map { it.crashes })
        assertEquals(emptyList(), answers.filterNot { it.whole }, "of ${answers.size}")
    }
}
