// Limits on all daemons together, of which each daemon enforces its own share.
package yuccaferry.decisions.limits

import yuccaferry.model.MonotonicTime

/**
 * Limits repeated sends to one service within a sliding window.
 *
 * @param ratio repeats allowed for each first send in the window.
 * @param windowMillis length of the window.
 */
class RepeatBudget(
    private val ratio: Double,
    private val windowMillis: Long,
) {
    private val firstSends = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Records the first send of a request. */
    fun recordFirst(now: MonotonicTime) {
        firstSends.addLast(now.millis)
        dropExpired(now)
    }

    /** Takes one repeat if the budget allows it; [reserve] is this daemon's share of the repeats that need no first send. */
    fun take(
        now: MonotonicTime,
        reserve: Double,
    ): Boolean {
        dropExpired(now)
        if (repeats.size + 1 > firstSends.size * ratio + reserve) return false
        repeats.addLast(now.millis)
        return true
    }

    private fun dropExpired(now: MonotonicTime) {
        val oldest = now.millis - windowMillis
        while (firstSends.isNotEmpty() && firstSends.first() < oldest) firstSends.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() < oldest) repeats.removeFirst()
    }
}

/** Limits sends to one cold target to this daemon's share of the target's rate, in any second. */
class ColdLimit {
    private val sends = ArrayDeque<Long>()

    /** Returns whether a send at [now] keeps within [perSecond] in any second. */
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
        /** One second, plus 100 ms because requests may arrive closer together than they were sent. */
        const val WINDOW_MILLIS = 1_100L
    }
}
