// Settings of a gateway process on loopback.
package yuccaferry.integration

import kotlinx.serialization.json.Json
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.app.GatewaySettings
import yuccaferry.integration.soak.StablePorts
import java.io.File

internal const val GATEWAY_MAIN = "yuccaferry.gateway.app.MainKt"

/** Returns settings with free ports for a gateway that follows the store at [storePort]. */
internal fun gatewaySettings(
    storePort: Int,
    graceSeconds: Double = 8.0,
) = GatewaySettings(
    settingsVersion = 1,
    name = "d",
    zone = "z",
    callers = "127.0.0.1:${StablePorts.take()}",
    readiness = "127.0.0.1:${StablePorts.take()}",
    metrics = "127.0.0.1:${StablePorts.take()}",
    host = "127.0.0.1",
    internalPorts = listOf(StablePorts.take()),
    store = "127.0.0.1:$storePort",
    limits = GatewayLimits(1.5, 5.0, 0.2, 100.0, 10.0, graceSeconds),
)

/** Replaces the content of this file by these settings. */
internal fun File.writeSettings(settings: GatewaySettings) = writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
