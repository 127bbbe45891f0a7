// Load that a target states of itself in an answer.
package yuccaferry.decisions.dispatch

/**
 * Load of a target in its own words, at the time of its answer.
 *
 * @property running requests that it processes.
 * @property waiting requests in its queue.
 * @property slots requests that it processes concurrently at most.
 */
data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
) {
    /** Requests at the target, whether it processes them yet or not. */
    val requests: Int get() = running + waiting

    /** Whether every slot is taken. */
    val isFull: Boolean get() = waiting > 0 || running >= slots

    /** Whether the target may have had no free slot a moment ago. */
    val isBusy: Boolean get() = requests >= slots * BUSY_SHARE

    private companion object {
        /** Share of taken slots from which on a new request may have waited for one. */
        const val BUSY_SHARE = 0.75
    }
}
