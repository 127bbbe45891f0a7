/*
 * Observation of the calls to the key-value service. The platform counts each call,
 * so the daemon counts them as well, by kind and by how they ended.
 */
package yuccaferry.platform

/** What a call to the key-value service does. */
enum class StoreCallKind { READ, READ_PREFIX, SWAP, DELETE, LEASE_GRANT, LEASE_RENEW, LEASE_REVOKE }

/** How a call to the key-value service ended. */
enum class StoreCallEnd { ANSWERED, NOT_APPLIED, UNCERTAIN }

/** Hears of every call to the key-value service once it has ended. */
fun interface StoreCallListener {
    /** Called after each call that was not cancelled; must not block. */
    fun onCall(
        kind: StoreCallKind,
        end: StoreCallEnd,
        durationMillis: Long,
    )

    companion object {
        /** Ignores every call. */
        val NONE = StoreCallListener { _, _, _ -> }
    }
}
