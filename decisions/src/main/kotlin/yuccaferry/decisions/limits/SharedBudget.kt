// A daemon's fixed share of limits that hold for the sum over all daemons.
package yuccaferry.decisions.limits

import yuccaferry.model.MonotonicTime

/**
 * Bounds repeated sends to one service within a sliding window.
 *
 * @param ratio repeats allowed for each first send in the window.
 * @param windowMillis length of the window.
 */
class RepeatBudget(
    private val ratio: Double,
    private val windowMillis: Long,
) {
    private val firsts = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Records the first send of a request. */
    fun recordFirst(now: MonotonicTime) {
        firsts.addLast(now.millis)
        forget(now)
    }

    /** Takes one repeat if the budget allows; [reserve] is this daemon's share of the repeats that need no first send. */
    fun take(
        now: MonotonicTime,
        reserve: Double,
    ): Boolean {
        forget(now)
        if (repeats.size + 1 > firsts.size * ratio + reserve) return false
        repeats.addLast(now.millis)
        return true
    }

    private fun forget(now: MonotonicTime) {
        val oldest = now.millis - windowMillis
        while (firsts.isNotEmpty() && firsts.first() < oldest) firsts.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() < oldest) repeats.removeFirst()
    }
}

/** Bounds sends to one cold target: at most a share of its rate in any second. */
class ColdLimit {
    private val sends = ArrayDeque<Long>()

    /** Whether a send at [now] keeps to [perSecond] in any second. */
    fun allows(
        now: MonotonicTime,
        perSecond: Double,
    ): Boolean {
        while (sends.isNotEmpty() && sends.first() <= now.millis - WINDOW_MILLIS) sends.removeFirst()
        return sends.size + 1 <= perSecond
    }

    /** Records a send. */
    fun record(now: MonotonicTime) = sends.addLast(now.millis)

    private companion object {
        /** A second, and the time by which arrivals may be closer together than sends. */
        const val WINDOW_MILLIS = 1_100L
    }
}
