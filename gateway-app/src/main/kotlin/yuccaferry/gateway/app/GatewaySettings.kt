// Settings of a gateway daemon: a JSON document that the platform generates and may replace at any time.
package yuccaferry.gateway.app

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.gateway.GatewayLimits
import yuccaferry.platform.StoreTiming
import yuccaferry.platform.parseAddress
import java.nio.file.Path

/**
 * Settings of a gateway daemon.
 *
 * @property settingsVersion version of the document's format; only 1 is supported.
 * @property name identifies the daemon in logs and to its peers.
 * @property zone availability zone of this instance.
 * @property callers `host:port` to listen on for callers.
 * @property readiness `host:port` to listen on for readiness checks.
 * @property metrics `host:port` to serve metrics on, in the Prometheus text format.
 * @property host address of this instance.
 * @property internalPorts first and last port for messages between daemons; the daemon uses the first.
 * @property store `host:port` of the platform's key-value service.
 * @property timing times within which changes in the platform's service take effect.
 */
@Serializable
data class GatewaySettings(
    val settingsVersion: Int,
    val name: String,
    val zone: String,
    val callers: String,
    val readiness: String,
    val metrics: String,
    val host: String,
    val internalPorts: List<Int>,
    val store: String,
    val limits: GatewayLimits,
    val timing: StoreTiming = StoreTiming(),
) {
    companion object {
        private val json = Json { ignoreUnknownKeys = false }

        /** Parses [text], the content of [path]; throws [IllegalArgumentException] that names the field if a value is invalid. */
        fun parse(
            path: Path,
            text: String,
        ): GatewaySettings {
            val settings =
                try {
                    json.decodeFromString(serializer(), text)
                } catch (invalid: SerializationException) {
                    throw IllegalArgumentException("settings $path: ${invalid.message}", invalid)
                }
            require(settings.settingsVersion == VERSION) {
                "settings $path: settingsVersion: expected $VERSION, found ${settings.settingsVersion}"
            }
            mapOf(
                "callers" to settings.callers,
                "readiness" to settings.readiness,
                "metrics" to settings.metrics,
                "store" to settings.store,
            ).forEach { (field, address) ->
                requireNotNull(parseAddress(address)) { "settings $path: $field: expected a.b.c.d:port, found $address" }
            }
            mapOf(
                "drainMillis" to settings.timing.drainMillis,
                "configurationMillis" to settings.timing.configurationMillis,
                "reconnectMillis" to settings.timing.reconnectMillis,
            ).forEach { (field, millis) ->
                require(millis > 0) { "settings $path: timing.$field: expected more than 0, found $millis" }
            }
            require(settings.internalPorts.isNotEmpty()) { "settings $path: internalPorts: expected the first and last port, found none" }
            for (port in settings.internalPorts) {
                requireNotNull(parseAddress("${settings.host}:$port")) {
                    "settings $path: host and internalPorts: expected an IPv4 address and ports from 1 to 65535, " +
                        "found ${settings.host}:$port"
                }
            }
            mapOf(
                "coldBurstFactor" to settings.limits.coldBurstFactor,
                "coldTolerance" to settings.limits.coldTolerance,
                "repeatRatio" to settings.limits.repeatRatio,
                "repeatReserve" to settings.limits.repeatReserve,
                "repeatWindowSeconds" to settings.limits.repeatWindowSeconds,
                "graceSeconds" to settings.limits.graceSeconds,
            ).forEach { (field, value) -> require(value >= 0) { "settings $path: limits.$field: expected 0 or more, found $value" } }
            return settings
        }

        private const val VERSION = 1
    }
}
