// Client accounts and the keys that their requests carry.
package yuccaferry.decisions.routing

import yuccaferry.model.AccountName

/**
 * One client account.
 *
 * @property priority rank of its requests, before that of the route; null when it has none.
 */
data class Account(
    val name: AccountName,
    val keys: Set<String>,
    val priority: Int?,
)

/** Finds accounts by key. With no accounts at all, requests need no key. */
class Accounts(
    accounts: Collection<Account>,
) {
    private val byKey: Map<String, Account> = accounts.flatMap { account -> account.keys.map { it to account } }.toMap()

    /** Whether requests of routes that are not public need a key. */
    val areRequired: Boolean = accounts.isNotEmpty()

    /** The account that holds [key], or null. */
    fun holding(key: String): Account? = byKey[key]
}
