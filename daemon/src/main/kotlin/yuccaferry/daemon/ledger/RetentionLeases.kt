/*
 * Leases that let records expire. All records that this daemon writes within `leaseSeconds`, about an hour,
 * share one lease. It is never renewed, and expires once the last of these records has been kept for `retentionSeconds`.
 */
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.StoreError
import yuccaferry.model.MonotonicTime

private const val MILLIS_PER_SECOND = 1_000L

/** Minimum age at which a lease is replaced after the key-value service refuses a write that uses it. */
private const val MIN_REPLACE_AGE_MILLIS = 60_000L

/** Grants and shares the leases of this daemon's records; [onGrant] is called before each grant. */
internal class RetentionLeases(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val settings: LedgerSettings,
    private val onGrant: () -> Unit,
) {
    private data class Held(
        val lease: LeaseId,
        val grantedAt: MonotonicTime,
    )

    private val mutex = Mutex()
    private var held: Held? = null

    /** Returns the lease for records written now; grants one if there is none or the last is too old. */
    suspend fun current(): Result<LeaseId, StoreError> =
        mutex.withLock {
            val now = clock.now()
            val usable = held?.takeIf { now - it.grantedAt < settings.leaseSeconds * MILLIS_PER_SECOND }
            if (usable != null) return Ok(usable.lease)
            onGrant()
            store.grantLease(settings.retentionSeconds + settings.leaseSeconds).onSuccess { held = Held(it, now) }
        }

    /** Discards [lease] if it is old enough, as the key-value service, which refused a write with it, may have ended it. */
    suspend fun onWriteRefused(lease: LeaseId) =
        mutex.withLock {
            val now = clock.now()
            held = held?.takeUnless { it.lease == lease && now - it.grantedAt >= MIN_REPLACE_AGE_MILLIS }
        }
}
