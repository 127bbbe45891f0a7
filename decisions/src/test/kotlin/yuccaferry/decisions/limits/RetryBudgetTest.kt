package yuccaferry.decisions.limits

import kotlin.test.Test
import kotlin.test.assertEquals

class RetryBudgetTest {
    private fun RetryBudget.takeAll(inProgress: Int): Int = generateSequence { take(inProgress) }.takeWhile { it }.count()

    @Test
    fun `the reserve is available from the start`() {
        assertEquals(10, RetryBudget(fraction = 0.2, reserve = 10.0).takeAll(inProgress = 0))
    }

    @Test
    fun `each request in progress can be retried once when a target is lost`() {
        assertEquals(10 + 24, RetryBudget(fraction = 0.2, reserve = 10.0).takeAll(inProgress = 24))
    }

    @Test
    fun `a deficit is earned back before any further retry, so that retries stay a fraction of requests`() {
        val budget = RetryBudget(fraction = 0.25, reserve = 10.0)
        budget.takeAll(inProgress = 24)
        val retries =
            (1..1_000).count {
                budget.earn()
                budget.take(inProgress = 0)
            }
        assertEquals(250 - 24, retries)
    }
}
