// Settings file of a running daemon, which the platform may replace with or without sending a signal.
package yuccaferry.gateway.app

import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path

/** Reads the settings in [path]; throws [IllegalArgumentException] if they are invalid, and `IOException` if they can't be read. */
class SettingsFile(
    private val path: Path,
) {
    private var text = read(path)

    /** The settings in force. Changed addresses and names take effect only at the next start. */
    var current: GatewaySettings = GatewaySettings.parse(path, text)
        private set

    /** Reads the file again; keeps the current settings if the new ones are invalid or can't be read. */
    fun reload(telemetry: Telemetry) {
        try {
            val next = read(path)
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

    /** Reloads the file when it changes, until the coroutine is cancelled; calls [onProgress] after each look at it. */
    suspend fun follow(
        telemetry: Telemetry,
        onProgress: () -> Unit,
    ) {
        while (true) {
            delay(POLL_INTERVAL_MILLIS)
            reload(telemetry)
            onProgress()
        }
    }

    private companion object {
        /** Milliseconds between reads of the file: within the platform's time limit for new configurations, and rare enough to be cheap. */
        const val POLL_INTERVAL_MILLIS = 1_500L

        /** Longest file in bytes: a thousand times the usual settings, and small beside the heap. */
        const val MAX_BYTES = 1_048_576

        /** Returns the text of [path], of which no more than [MAX_BYTES] are read whatever its size. */
        fun read(path: Path): String {
            val bytes = Files.newInputStream(path).use { it.readNBytes(MAX_BYTES + 1) }
            require(bytes.size <= MAX_BYTES) { "settings $path: expected $MAX_BYTES bytes at most, found more" }
            return Charsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString()
        }
    }
}
