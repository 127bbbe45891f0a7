// When the events of one attempt came, for its log line.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.model.MonotonicTime

/** Times of the events of an attempt that began at [start]. */
internal class EventPace(
    private val start: MonotonicTime,
) {
    private var first: MonotonicTime? = null
    private var last = start
    private var longestMillis = 0L

    /** Records that events came at [now]. */
    fun record(now: MonotonicTime) {
        if (first == null) first = now else longestMillis = maxOf(longestMillis, now - last)
        last = now
    }

    /** Time to the first event and the longest pause between two, in ms; none before the first event. */
    fun fields(): Array<Field> {
        val first = first ?: return emptyArray()
        return arrayOf(Field("first_ms", first - start), Field("longest_pause_ms", longestMillis))
    }
}
