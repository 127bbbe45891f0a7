/*
 * Leases that let records expire. One lease is shared by all records that this daemon writes within
 * an hour or so, is never renewed, and lapses once the last of them has been kept long enough.
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

/** Age from which a lease may be replaced when the service refuses a write that uses it. */
private const val SUSPECT_AGE_MILLIS = 60_000L

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

    /** Returns the lease for records written now, granting one when there is none. */
    suspend fun current(): Result<LeaseId, StoreError> =
        mutex.withLock {
            val now = clock.now()
            val usable = held?.takeIf { now - it.grantedAt < settings.leaseSeconds * MILLIS_PER_SECOND }
            if (usable != null) return Ok(usable.lease)
            onGrant()
            store.grantLease(settings.retentionSeconds + settings.leaseSeconds).onSuccess { held = Held(it, now) }
        }

    /** Notes that the service refused a write with [lease], which may have been ended there. */
    suspend fun suspect(lease: LeaseId) =
        mutex.withLock {
            val now = clock.now()
            held = held?.takeUnless { it.lease == lease && now - it.grantedAt >= SUSPECT_AGE_MILLIS }
        }
}
