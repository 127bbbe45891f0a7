/*
 * Port to the platform's key-value service: compare-and-swap on single keys, leases, prefix reads.
 * Every call has a timeout; the adapter adds no retries, as only the caller can decide whether a repeat is safe.
 */
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result

/** Identifies a lease at the key-value service. */
@JvmInline
value class LeaseId(
    val value: Long,
)

/**
 * One stored value.
 *
 * @property revision store-wide revision of the last write to the key; never zero.
 */
data class StoredValue(
    val key: String,
    val value: String,
    val revision: Long,
)

/**
 * Result of a prefix read.
 *
 * @property revision store-wide revision at which the read was made.
 */
data class PrefixSnapshot(
    val revision: Long,
    val values: List<StoredValue>,
)

/** Result of a compare-and-swap that reached the store and was answered. */
sealed interface SwapOutcome {
    /** The value was written at [revision]. */
    data class Written(
        val revision: Long,
    ) : SwapOutcome

    /** The key did not have the expected revision; [current] is its present value, null when absent. */
    data class Conflict(
        val current: StoredValue?,
    ) : SwapOutcome
}

/** Reason why a call to the key-value service gave no answer. */
sealed interface StoreError {
    val message: String

    /** The request certainly had no effect: it was never sent, or the service refused it. */
    data class NotApplied(
        override val message: String,
    ) : StoreError

    /** The answer was lost: the request may have taken effect, now or later. */
    data class Uncertain(
        override val message: String,
    ) : StoreError
}

/** The platform's key-value service. Values are at most one megabyte. */
interface KeyValueStore {
    /** Reads [key]; null when the key is absent. */
    suspend fun read(key: String): Result<StoredValue?, StoreError>

    /**
     * Reads the keys that start with [prefix] and were written after [afterRevision].
     * Deleted keys are not reported; pass zero to see all keys that exist.
     */
    suspend fun readPrefix(
        prefix: String,
        afterRevision: Long = 0,
    ): Result<PrefixSnapshot, StoreError>

    /**
     * Writes [value] to [key] if the key's revision is [expectedRevision]; zero means that the key must be absent.
     * A key written with a [lease] is deleted when the lease expires.
     */
    suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId? = null,
    ): Result<SwapOutcome, StoreError>

    /** Deletes [key] if its revision is [expectedRevision]. */
    suspend fun deleteIf(
        key: String,
        expectedRevision: Long,
    ): Result<SwapOutcome, StoreError>

    /** Creates a lease that expires [ttlSeconds] after its last renewal. */
    suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, StoreError>

    /** Renews [lease]; false when it has expired already. */
    suspend fun renewLease(lease: LeaseId): Result<Boolean, StoreError>

    /** Ends [lease] at once, which deletes its keys. */
    suspend fun revokeLease(lease: LeaseId): Result<Unit, StoreError>
}
