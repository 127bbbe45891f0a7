// Settings of a gateway daemon: one JSON document, which the platform fills in and may replace at any time.
package yuccaferry.gateway.app

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.gateway.GatewayLimits
import java.nio.file.Files
import java.nio.file.Path

/**
 * Settings.
 *
 * @property callers `host:port` to listen on for callers.
 * @property readiness `host:port` to listen on for readiness checks.
 * @property metrics `host:port` to serve metrics on, in the Prometheus text format.
 * @property host address of this instance.
 * @property internalPorts first and last port for messages between daemons.
 * @property store `host:port` of the platform's key-value service.
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
) {
    companion object {
        private val json = Json { ignoreUnknownKeys = false }

        /** Reads [path]; throws [IllegalArgumentException] that names the field when something is wrong. */
        fun read(path: Path): GatewaySettings {
            val settings =
                try {
                    json.decodeFromString(serializer(), Files.readString(path))
                } catch (invalid: SerializationException) {
                    throw IllegalArgumentException("settings $path: ${invalid.message}", invalid)
                }
            require(settings.settingsVersion == VERSION) {
                "settings $path: settingsVersion: expected $VERSION, found ${settings.settingsVersion}"
            }
            return settings
        }

        private const val VERSION = 1
    }
}
