// Limits the rate of log lines, so that logging doesn't take processor time from requests.
package yuccaferry.telemetry

/** Token bucket that admits [linesPerSecond] log lines with bursts of [burstLines], and counts the lines that it drops. */
class LogRateLimiter(
    private val linesPerSecond: Double = LINES_PER_SECOND,
    private val burstLines: Double = BURST_LINES,
) {
    private var available = burstLines
    private var lastMillis: Long? = null
    private var dropped = 0L

    /** Decides whether a line at [nowMillis] on the monotonic clock is written. */
    @Synchronized
    fun admit(nowMillis: Long): Decision {
        val last = lastMillis ?: nowMillis
        lastMillis = nowMillis
        available = minOf(burstLines, available + (nowMillis - last) * linesPerSecond / MILLIS_PER_SECOND)
        if (available < 1) {
            dropped++
            return Decision.Dropped
        }
        available -= 1
        val droppedCount = dropped
        dropped = 0
        return Decision.Admitted(droppedCount)
    }

    /** Result of [admit]. */
    sealed interface Decision {
        /** The line is written; [droppedBefore] lines were dropped since the last line that was written. */
        data class Admitted(
            val droppedBefore: Long,
        ) : Decision

        /** The line is not written. */
        data object Dropped : Decision
    }

    private companion object {
        /** Lines per second: four for each of a hundred requests, which is more than a small instance serves. */
        const val LINES_PER_SECOND = 400.0

        /** Lines in one burst: a listing of all targets and one second of requests. */
        const val BURST_LINES = 1_000.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
