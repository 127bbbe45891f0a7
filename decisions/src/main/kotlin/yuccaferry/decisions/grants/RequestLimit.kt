/*
 * Limit on the concurrent requests of a target: starts at the cold limit, grows with each success while the target
 * is warm, and falls back to the cold limit when the target restarted or reports that it is cold again. A failure
 * halves it, but not below the cold limit. A target that doesn't report starts at the warm limit.
 */
package yuccaferry.decisions.grants

import yuccaferry.model.Incarnation

internal class RequestLimit(
    private val coldLimit: Int,
    private val warmLimit: Int,
    observable: Boolean,
) {
    private var incarnation: Incarnation? = null

    /** Whether the target is warm according to its last report; always true for one that doesn't report. */
    var warm = !observable
        private set

    /** Most requests that may be in progress. */
    var current = if (observable) coldLimit else warmLimit
        private set

    fun observe(
        reportedIncarnation: Incarnation,
        reportedWarm: Boolean,
    ) {
        if (reportedIncarnation != incarnation || !reportedWarm) current = coldLimit
        incarnation = reportedIncarnation
        warm = reportedWarm
    }

    fun succeeded() {
        if (warm && current < warmLimit) current++
    }

    fun failed() {
        current = maxOf(coldLimit, current / 2)
    }
}
