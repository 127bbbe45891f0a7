package yuccaferry.integration

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import yuccaferry.gateway.app.GatewaySettings
import yuccaferry.gateway.net.EventLoop
import yuccaferry.platform.standin.StandInKeys
import yuccaferry.platform.standin.StoreStandIn
import yuccaferry.platform.standin.configurationDocument
import java.io.File
import java.io.FileOutputStream
import java.nio.file.Files
import java.nio.file.StandardCopyOption
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Signals that arrive while a gateway starts: its settings come through a pipe, so that it waits for them. */
class GatewaySignalTest {
    private val loop = EventLoop()
    private val store = StoreStandIn(loop)
    private val settingsPath = File("target", "gateway-signal-${System.nanoTime()}.json")

    @AfterEach
    fun close() {
        loop.close()
        settingsPath.delete()
    }

    private fun <T> onLoop(action: suspend () -> T): T = runBlocking(loop.scope.coroutineContext) { action() }

    private fun startWaitingForSettings(): ProcessUnderTest {
        check(ProcessBuilder("mkfifo", settingsPath.path).start().waitFor() == 0) { "can't create $settingsPath" }
        return ProcessUnderTest.start("gateway-signal", GATEWAY_MAIN, listOf(settingsPath.path))
    }

    /** Guards against gateways that a SIGHUP in the first moments of their start ended with status 129. */
    @Test
    fun `SIGHUP before the settings are read does no harm`() {
        val storePort =
            onLoop {
                store.put(StandInKeys.CONFIGURATION, configurationDocument(1, "key"))
                store.start().port
            }
        startWaitingForSettings().use { gateway ->
            // Opening the pipe waits for its reader.
            FileOutputStream(settingsPath).use { pipe ->
                gateway.signal(Signal.HUP)
                val settings = gatewaySettings(storePort)
                val file = File.createTempFile("gateway-signal", ".json", File("target")).also { it.writeSettings(settings) }
                Files.move(file.toPath(), settingsPath.toPath(), StandardCopyOption.REPLACE_EXISTING)
                pipe.write(Json.encodeToString(GatewaySettings.serializer(), settings).toByteArray())
            }
            eventually("the gateway is listed") { !gateway.alive || onLoop { store.contains("yuccaferry/daemons/d") } }
            assertTrue(gateway.alive, "the gateway has ended")
        }
    }

    /** Guards against gateways that reported a failure when they were told to end before they had begun to serve. */
    @Test
    fun `SIGTERM before the settings are read ends the process with status 0`() {
        startWaitingForSettings().use { gateway ->
            FileOutputStream(settingsPath).use {
                gateway.signal(Signal.TERM)
                assertEquals(0, gateway.awaitEnd())
            }
        }
    }
}
