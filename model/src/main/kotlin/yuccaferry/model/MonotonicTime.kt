// Time as the decisions see it: a monotonic reading of one process, never a wall clock.
package yuccaferry.model

/**
 * Milliseconds on one process's monotonic clock. Readings of different processes can't be compared;
 * between processes only durations travel.
 */
@JvmInline
value class MonotonicTime(
    val millis: Long,
) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = millis.compareTo(other.millis)

    operator fun plus(durationMillis: Long) = MonotonicTime(millis + durationMillis)

    operator fun minus(earlier: MonotonicTime): Long = millis - earlier.millis
}
