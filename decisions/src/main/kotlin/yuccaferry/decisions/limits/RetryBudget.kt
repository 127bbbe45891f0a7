/*
 * Limits retries to a fraction of an account's requests, so that retries don't overload failing targets.
 */
package yuccaferry.decisions.limits

/**
 * Retry budget of one account.
 *
 * @param fraction retries earned by each request.
 * @param reserve retries available without any earlier request; also the most that can accumulate.
 */
class RetryBudget(
    private val fraction: Double = 0.2,
    private val reserve: Double = 10.0,
) {
    private var available = reserve

    /** Records one new request. */
    fun earn() {
        available = minOf(reserve, available + fraction)
    }

    /**
     * Takes one retry; returns false when the budget is spent. The budget may go as far below zero as there are requests in
     * progress, [inProgress], so that all of them can be retried when one target is lost. With none in progress, no retry is
     * taken until the deficit is earned back.
     */
    fun take(inProgress: Int = 0): Boolean {
        if (available - 1.0 < -inProgress) return false
        available -= 1.0
        return true
    }
}
