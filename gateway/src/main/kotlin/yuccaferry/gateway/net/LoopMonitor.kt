// Measures how late an event loop runs its tasks.
package yuccaferry.gateway.net

import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.model.MonotonicTime

/** Measures the lag of [loop] by tasks that are due at known times; warns when one is late. */
class LoopMonitor(
    private val loop: EventLoop,
    private val telemetry: Telemetry,
) {
    private val lags = ArrayDeque<Long>()

    /** Longest lag, in milliseconds, of the last [WINDOW_PROBES] probes. */
    val lagMillis: Long get() = lags.maxOrNull() ?: 0

    init {
        telemetry.gauge("yuccaferry_loop_lag_seconds") { lagMillis / MILLIS_PER_SECOND }
    }

    /** Measures until the coroutine is cancelled; calls [onProgress] after each probe. */
    suspend fun follow(onProgress: () -> Unit) {
        while (true) {
            val due = loop.now() + PROBE_INTERVAL_MILLIS
            delay(PROBE_INTERVAL_MILLIS)
            record(due, loop.now())
            onProgress()
        }
    }

    private fun record(
        due: MonotonicTime,
        now: MonotonicTime,
    ) {
        val lag = maxOf(0, now - due)
        lags.addLast(lag)
        if (lags.size > WINDOW_PROBES) lags.removeFirst()
        if (lag >= LATE_MILLIS) telemetry.event("loop_late", Field("lag_ms", lag), severity = Severity.WARN)
    }

    companion object {
        /** Milliseconds of lag that are worth a warning: half of the second between two readiness checks. */
        const val LATE_MILLIS = 500L

        /** Milliseconds between two probes: a pass of the loop that is longer than twice [LATE_MILLIS] delays at least one by that much. */
        private const val PROBE_INTERVAL_MILLIS = 500L

        /** Probes of the last 10 s, the interval of status lines. */
        private const val WINDOW_PROBES = 20
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
