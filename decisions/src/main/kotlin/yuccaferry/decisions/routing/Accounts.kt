// Client accounts and their API keys.
package yuccaferry.decisions.routing

import yuccaferry.model.AccountName

/**
 * One client account.
 *
 * @property priority priority of its requests, which takes precedence over the route's; null when it has none.
 */
data class Account(
    val name: AccountName,
    val keys: Set<String>,
    val priority: Int?,
)

/** Finds accounts by key. When there are no accounts, requests need no key. */
class Accounts(
    accounts: Collection<Account>,
) {
    private val byKey: Map<String, Account> = accounts.flatMap { account -> account.keys.map { it to account } }.toMap()

    /** Whether requests of routes that are not public need a key. */
    val requireKeys: Boolean = accounts.isNotEmpty()

    /** Returns the account that holds [key], or null. */
    fun holding(key: String): Account? = byKey[key]
}
