// The settings file of a running daemon, which the platform may replace with or without a signal.
package yuccaferry.gateway.app

import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Settings in [path]; throws [IllegalArgumentException] when they can't be used at the start. */
class SettingsFile(
    private val path: Path,
) {
    private var text = Files.readString(path)

    /** The settings in force. Addresses and names take effect at the next start only. */
    var current: GatewaySettings = GatewaySettings.parse(path, text)
        private set

    /** Reads the file again; settings that can't be used change nothing. */
    fun reload(telemetry: Telemetry) {
        try {
            val next = Files.readString(path)
            if (next == text) return
            text = next
            current = GatewaySettings.parse(path, next)
            telemetry.event("settings_reloaded", Field("limits", current.limits))
        } catch (invalid: IllegalArgumentException) {
            telemetry.event("settings_refused", Field("error", invalid.message), severity = Severity.ERROR)
        } catch (unreadable: IOException) {
            telemetry.event("settings_unreadable", Field("error", unreadable), severity = Severity.WARN)
        }
    }

    /** Reloads the file whenever it changes. */
    suspend fun follow(telemetry: Telemetry) {
        while (true) {
            delay(CHECK_MILLIS)
            reload(telemetry)
        }
    }

    private companion object {
        /** Milliseconds between looks at the file: within the platform's bound for configurations, and rare. */
        const val CHECK_MILLIS = 1_500L
    }
}
