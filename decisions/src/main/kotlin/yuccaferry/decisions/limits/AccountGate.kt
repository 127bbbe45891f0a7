// Admission by account: limits the requests in progress in this process.
package yuccaferry.decisions.limits

import yuccaferry.model.AccountEntry
import yuccaferry.model.AccountName

/** Counts the requests in progress of each account; not thread-safe. */
class AccountGate {
    private val inProgress = mutableMapOf<AccountName, Int>()
    private val budgets = mutableMapOf<AccountName, RetryBudget>()

    /** Requests in progress over all accounts. */
    var total = 0
        private set

    /** Admits one request of [account]; returns false when its concurrent requests are at their limit. */
    fun enter(account: AccountEntry): Boolean {
        val count = inProgress[account.name] ?: 0
        if (count >= account.concurrentRequests) return false
        inProgress[account.name] = count + 1
        total++
        budgetOf(account.name).earn()
        return true
    }

    /** Records the end of one admitted request of [account]. */
    fun leave(account: AccountName) {
        val count = inProgress[account] ?: return
        if (count == 1) inProgress.remove(account) else inProgress[account] = count - 1
        total--
    }

    /** Takes one retry from the budget of [account]; returns false when the budget is spent. */
    fun takeRetry(account: AccountName): Boolean = budgetOf(account).take(inProgress[account] ?: 0)

    private fun budgetOf(account: AccountName) = budgets.getOrPut(account) { RetryBudget() }
}
