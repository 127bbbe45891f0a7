package yuccaferry.integration

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import yuccaferry.gateway.net.EventLoop
import yuccaferry.platform.standin.StandInKeys
import yuccaferry.platform.standin.StoreStandIn
import yuccaferry.platform.standin.configurationDocument
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class GatewayLeaveTest {
    private val loop = EventLoop()
    private val store = StoreStandIn(loop)

    @AfterEach
    fun close() = loop.close()

    private fun <T> onLoop(action: suspend () -> T): T = runBlocking(loop.scope.coroutineContext) { action() }

    private fun isListed() = onLoop { store.contains("yuccaferry/daemons/d") }

    private fun start(storePort: Int): ProcessUnderTest {
        val file = File.createTempFile("gateway-leave", ".json", File("target")).also { it.writeSettings(gatewaySettings(storePort)) }
        return ProcessUnderTest.start("gateway-leave", GATEWAY_MAIN, listOf(file.path))
    }

    /** Guards against crashes by daemons that leave: their peers didn't tell them of parts of prompts that crash engines. */
    @Test
    fun `a gateway that leaves stays listed while it serves, and not longer`() {
        val storePort =
            onLoop {
                store.put(StandInKeys.CONFIGURATION, configurationDocument(1, "key"))
                store.start().port
            }
        start(storePort).use { gateway ->
            eventually("the gateway is listed") { isListed() }
            gateway.signal(Signal.TERM)
            var unlistedAt: Long? = null
            eventually("the gateway ends", END_BOUND) {
                if (unlistedAt == null && !isListed()) unlistedAt = System.nanoTime()
                !gateway.alive
            }
            val endedAt = System.nanoTime()
            assertEquals(0, gateway.awaitEnd())
            assertFalse(isListed(), "the gateway is listed after its end")
            val servedMillis = (endedAt - (unlistedAt ?: endedAt)) / NANOS_PER_MILLI
            assertTrue(servedMillis < EXIT_MILLIS, "the gateway ran unlisted for $servedMillis ms")
        }
    }

    /** Guards against daemons that are killed because they still try to reach the store at the end of the grace time. */
    @Test
    fun `a gateway whose store doesn't answer ends within the grace time`() {
        val storePort =
            onLoop {
                store.put(StandInKeys.CONFIGURATION, configurationDocument(1, "key"))
                store.start().port
            }
        start(storePort).use { gateway ->
            eventually("the gateway is listed") { isListed() }
            onLoop { store.mode = StoreStandIn.Mode.SILENT }
            val start = System.nanoTime()
            gateway.signal(Signal.TERM)
            assertEquals(0, gateway.awaitEnd())
            val millis = (System.nanoTime() - start) / NANOS_PER_MILLI
            assertTrue(millis < GRACE_MILLIS, "the gateway ended after $millis ms")
        }
    }

    private companion object {
        /** Milliseconds of the grace time in the settings. */
        const val GRACE_MILLIS = 8_000L

        /** Time limit of the end: the grace time in the settings and as long again. */
        val END_BOUND = 16.seconds
        const val NANOS_PER_MILLI = 1_000_000

        /** Milliseconds that a process may take to end after its last call to the store, on a busy machine. */
        const val EXIT_MILLIS = 1_000L
    }
}
