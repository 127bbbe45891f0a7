/*
 * Reporting of the calls to the key-value service. The platform counts each call,
 * so the daemon counts them as well, by kind and outcome.
 */
package yuccaferry.platform

/** The kind of a call to the key-value service. */
enum class StoreCallKind { READ, READ_PREFIX, SWAP, DELETE, LEASE_GRANT, LEASE_RENEW, LEASE_REVOKE }

/** The outcome of a call to the key-value service. */
enum class StoreCallOutcome { ANSWERED, NOT_APPLIED, UNCERTAIN }

/** Receives every call to the key-value service after it has ended. */
fun interface StoreCallListener {
    /** Called after each call that was not cancelled; must not block. */
    fun onCall(
        kind: StoreCallKind,
        outcome: StoreCallOutcome,
        durationMillis: Long,
    )

    companion object {
        /** Ignores every call. */
        val NONE = StoreCallListener { _, _, _ -> }
    }
}
