/*
 * How many requests a target is given at once: the cold limit until it proves warm, then more with each success,
 * and back to the cold limit at the first sign of a restart or of a warm target turned cold.
 */
package yuccaferry.decisions.grants

import yuccaferry.model.Incarnation

internal class RequestLimit(
    private val cold: Int,
    private val warmMost: Int,
    observable: Boolean,
) {
    private var incarnation: Incarnation? = null

    /** Whether the target said that it is warm when last heard. */
    var warm = !observable
        private set

    /** Requests that may be in progress. */
    var current = if (observable) cold else warmMost
        private set

    fun observe(
        seen: Incarnation,
        seenWarm: Boolean,
    ) {
        if (seen != incarnation || !seenWarm) current = cold
        incarnation = seen
        warm = seenWarm
    }

    fun succeeded() {
        if (warm && current < warmMost) current++
    }

    fun failed() {
        current = maxOf(cold, current / 2)
    }
}
