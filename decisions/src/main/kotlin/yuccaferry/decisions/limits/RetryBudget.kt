/*
 * Bounds retries to a fraction of an account's requests, so that failing targets are not buried
 * under repeated work.
 */
package yuccaferry.decisions.limits

/**
 * Retry budget of one account.
 *
 * @param fraction retries earned by each request.
 * @param reserve retries that are available without any earlier request, and the most that can be saved up.
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
     * Takes one retry; false when the budget is spent. While [inProgress] requests are in progress it may run that far
     * into debt, so that all of them survive the loss of one target; the debt is paid off before any further retry.
     */
    fun take(inProgress: Int = 0): Boolean {
        if (available - 1.0 < -inProgress) return false
        available -= 1.0
        return true
    }
}
