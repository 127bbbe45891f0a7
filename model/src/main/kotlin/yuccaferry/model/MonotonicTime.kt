// Time as the decision code uses it: a reading of the process's monotonic clock, never of a wall clock.
package yuccaferry.model

/**
 * Milliseconds on one process's monotonic clock. Readings of different processes can't be compared, so
 * processes send each other only durations.
 */
@JvmInline
value class MonotonicTime(
    val millis: Long,
) : Comparable<MonotonicTime> {
    override fun compareTo(other: MonotonicTime) = millis.compareTo(other.millis)

    operator fun plus(durationMillis: Long) = MonotonicTime(millis + durationMillis)

    operator fun minus(earlier: MonotonicTime): Long = millis - earlier.millis
}
