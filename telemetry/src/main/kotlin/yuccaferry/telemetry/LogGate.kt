// Bounds the volume of log lines, so that logging never takes the processor from serving.
package yuccaferry.telemetry

/** Lets through a steady number of lines each second, with a reserve for bursts, and counts the others. */
class LogGate(
    private val linesPerSecond: Double = LINES_PER_SECOND,
    private val burstLines: Double = BURST_LINES,
) {
    private var available = burstLines
    private var lastMillis: Long? = null
    private var dropped = 0L

    /** What to do with a line at [nowMillis] on the monotonic clock. */
    @Synchronized
    fun pass(nowMillis: Long): Passage {
        val last = lastMillis ?: nowMillis
        lastMillis = nowMillis
        available = minOf(burstLines, available + (nowMillis - last) * linesPerSecond / MILLIS_PER_SECOND)
        if (available < 1) {
            dropped++
            return Passage.Dropped
        }
        available -= 1
        val missing = dropped
        dropped = 0
        return Passage.Passed(missing)
    }

    /** Result of [pass]. */
    sealed interface Passage {
        /** The line is written; [droppedBefore] lines were dropped since the last one. */
        data class Passed(
            val droppedBefore: Long,
        ) : Passage

        /** The line is not written. */
        data object Dropped : Passage
    }

    private companion object {
        /** Lines each second: four for each of a hundred requests, more than a small instance serves. */
        const val LINES_PER_SECOND = 400.0

        /** Lines that may come at once: a listing of all targets beside a second of requests. */
        const val BURST_LINES = 1_000.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
