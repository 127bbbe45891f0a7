package yuccaferry.integration

import kotlinx.serialization.json.Json
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.app.GatewaySettings
import java.io.File
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals

class GatewayStartTest {
    private fun freePort() = ServerSocket(0).use { it.localPort }

    @Test
    fun `a gateway that can't open one of its addresses exits instead of refusing every request`() {
        DatagramSocket(0, InetAddress.getByName("127.0.0.1")).use { taken ->
            val settings =
                GatewaySettings(
                    settingsVersion = 1,
                    name = "d",
                    zone = "z",
                    callers = "127.0.0.1:${freePort()}",
                    readiness = "127.0.0.1:${freePort()}",
                    metrics = "127.0.0.1:${freePort()}",
                    host = "127.0.0.1",
                    internalPorts = listOf(taken.localPort),
                    store = "127.0.0.1:${freePort()}",
                    limits = GatewayLimits(1.5, 5.0, 0.2, 100.0, 10.0, 8.0),
                )
            val file = File.createTempFile("gateway-start", ".json", File("target"))
            file.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
            ProcessUnderTest.start("gateway-start", "yuccaferry.gateway.app.MainKt", listOf(file.path)).use {
                assertEquals(EXIT_START, it.awaitEnd())
            }
        }
    }

    private companion object {
        const val EXIT_START = 3
    }
}
