// Decides which requests a daemon that leaves still accepts.
package yuccaferry.decisions.forward

import yuccaferry.model.MonotonicTime

/**
 * The last seconds of a daemon. Until [selectiveFrom], callers may not know yet that it leaves, and all their requests are accepted. After
 * that, only those are whose answer is due before [end], when open connections are closed; the others can be served elsewhere.
 */
class Departure(
    private val selectiveFrom: MonotonicTime,
    val end: MonotonicTime,
) {
    /** Whether a request that arrives at [now] and is answered by [deadline] is accepted. */
    fun accepts(
        now: MonotonicTime,
        deadline: MonotonicTime,
    ): Boolean = now < selectiveFrom || deadline + ANSWER_MILLIS <= end

    private companion object {
        /** Milliseconds for the final answer of a request whose time has run out. */
        const val ANSWER_MILLIS = 100L
    }
}
