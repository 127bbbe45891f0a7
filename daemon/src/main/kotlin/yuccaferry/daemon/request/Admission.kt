/*
 * Admits callers' requests: authenticates the caller, checks that the account may use the requested service, and
 * limits the account's concurrent requests. Refuses all requests until a configuration has been loaded. A refused
 * request has not run.
 */
package yuccaferry.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import yuccaferry.daemon.port.Clock
import yuccaferry.decisions.limits.AccountGate
import yuccaferry.model.AccountEntry
import yuccaferry.model.AccountName
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Execution
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import yuccaferry.model.ServiceName
import java.security.MessageDigest

private const val MILLIS_PER_SECOND = 1_000L
private const val NOT_READY_RETRY_AFTER_SECONDS = 1
private const val ACCOUNT_RETRY_AFTER_SECONDS = 1

/** The account of an admitted request, and the time by which the request must end. */
data class Admitted(
    val account: AccountEntry,
    val deadline: MonotonicTime,
)

/** Admits requests; safe for concurrent use. */
class Admission(
    private val configuration: () -> Configuration,
    private val clock: Clock,
) {
    private val gate = AccountGate()

    @Volatile
    private var draining = false

    /** Requests in progress. */
    val inProgress: Int get() = synchronized(gate) { gate.total }

    /** Marks this process as not ready; requests that still arrive are served. */
    fun drain() {
        draining = true
    }

    /** Whether [drain] has been called. */
    val isDraining: Boolean get() = draining

    /** Returns the account that [apiKey] belongs to; the comparison takes constant time per key. */
    fun authenticate(apiKey: String?): Result<AccountEntry, Refusal> {
        val current = configuration()
        if (current.version ==
            ConfigurationVersion.NONE
        ) {
            return refuse(RefusalCode.NOT_READY, "no configuration has been loaded yet", NOT_READY_RETRY_AFTER_SECONDS)
        }
        val file = current.file
        if (apiKey == null) return refuse(RefusalCode.UNAUTHENTICATED, "expected an API key in the Authorization header, found none")
        val digest = sha256Hex(apiKey).encodeToByteArray()
        val account =
            file.accounts.firstOrNull { entry ->
                entry.keySha256.any { MessageDigest.isEqual(it.encodeToByteArray(), digest) }
            }
        return account?.let { Ok(it) } ?: refuse(RefusalCode.UNAUTHENTICATED, "the API key belongs to no account")
    }

    /** Admits one request of [account] for [name]; the caller must [leave] after it. */
    fun enter(
        account: AccountEntry,
        name: ServiceName,
    ): Result<Admitted, Refusal> {
        if (name !in account.serves) {
            return refuse(RefusalCode.NOT_PERMITTED, "account ${account.name} may not use $name")
        }
        val entered = synchronized(gate) { gate.enter(account) }
        if (!entered) {
            val message = "account ${account.name} has ${account.concurrentRequests} requests in progress, which is its limit"
            return refuse(RefusalCode.ACCOUNT_LIMIT, message, ACCOUNT_RETRY_AFTER_SECONDS)
        }
        return Ok(Admitted(account, clock.now() + account.deadlineSeconds * MILLIS_PER_SECOND))
    }

    /** Records the end of an admitted request. */
    fun leave(account: AccountName) = synchronized(gate) { gate.leave(account) }

    /** Takes one retry from the account's budget; false when none is left. */
    fun takeRetry(account: AccountName): Boolean = synchronized(gate) { gate.takeRetry(account) }

    private fun refuse(
        code: RefusalCode,
        message: String,
        retryAfterSeconds: Int? = null,
    ) = Err(Refusal(code, message, Execution.NOT_RUN, retryAfterSeconds = retryAfterSeconds))
}

/** Lower-case hex SHA-256 of [text] in UTF-8. */
fun sha256Hex(text: String): String =
    MessageDigest
        .getInstance("SHA-256")
        .digest(text.encodeToByteArray())
        .joinToString("") { "%02x".format(it) }
