// Records the arrival times of an attempt's events for its log line.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.model.MonotonicTime

/** Arrival times of the events of an attempt that began at [start]. */
internal class EventTiming(
    private val start: MonotonicTime,
) {
    private var first: MonotonicTime? = null
    private var last = start
    private var longestMillis = 0L

    /** Records that events arrived at [now]. */
    fun record(now: MonotonicTime) {
        if (first == null) first = now else longestMillis = maxOf(longestMillis, now - last)
        last = now
    }

    /** Returns the time to the first event and the longest pause between two, in ms; empty before the first event. */
    fun fields(): Array<Field> {
        val first = first ?: return emptyArray()
        return arrayOf(Field("first_ms", first - start), Field("longest_pause_ms", longestMillis))
    }
}
