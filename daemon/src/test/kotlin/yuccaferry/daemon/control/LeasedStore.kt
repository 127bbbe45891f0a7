// An in-memory key-value store with leases in virtual time, outages and lost answers.
package yuccaferry.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.PrefixSnapshot
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome
import yuccaferry.model.MonotonicTime

internal class LeasedStore(
    private val clock: Clock,
) : KeyValueStore {
    private class Lease(
        val ttlMillis: Long,
        var until: MonotonicTime,
    )

    private val values = sortedMapOf<String, StoredValue>()
    private val leaseOf = HashMap<String, LeaseId>()
    private val leases = HashMap<LeaseId, Lease>()
    private var revision = 0L
    var unavailable = false
    var loseAnswers = false

    /** Called once by the next call to the store; for failures that no store answers with. */
    var nextFailure: (suspend () -> Unit)? = null

    /** Bytes of keys and values in answers to reads, in the JSON gateway's base64 and without its framing. */
    var readBytes = 0L

    val keys: Set<String> get() = values.keys

    override suspend fun read(key: String) = call { values[key] }

    override suspend fun readPrefix(
        prefix: String,
        afterRevision: Long,
    ) = call {
        val found = values.values.filter { it.key.startsWith(prefix) && it.revision > afterRevision }
        readBytes += found.sumOf { (it.key.length + it.value.length) * 4L / 3 }
        PrefixSnapshot(revision, found)
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId?,
    ): Result<SwapOutcome, StoreError> {
        if (lease != null && lease !in leases) return Err(StoreError.NotApplied("no such lease"))
        return call {
            val current = values[key]
            if ((current?.revision ?: 0) != expectedRevision) return@call SwapOutcome.Conflict(current)
            values[key] = StoredValue(key, value, ++revision)
            if (lease != null) leaseOf[key] = lease
            SwapOutcome.Written(revision)
        }
    }

    override suspend fun deleteIf(
        key: String,
        expectedRevision: Long,
    ) = Err(StoreError.NotApplied("not used"))

    override suspend fun grantLease(ttlSeconds: Long) =
        call {
            val millis = ttlSeconds * 1_000
            LeaseId(++revision).also { leases[it] = Lease(millis, clock.now() + millis) }
        }

    override suspend fun renewLease(lease: LeaseId) =
        call {
            val known = leases[lease]
            known?.until = clock.now() + (known?.ttlMillis ?: 0)
            known != null
        }

    override suspend fun revokeLease(lease: LeaseId) = call { end(lease) }

    private suspend fun <T> call(action: () -> T): Result<T, StoreError> {
        delay(1)
        nextFailure?.let {
            nextFailure = null
            it()
        }
        if (unavailable) return Err(StoreError.NotApplied("unavailable"))
        leases.filterValues { it.until <= clock.now() }.keys.forEach(::end)
        val result = action()
        return if (loseAnswers) Err(StoreError.Uncertain("answer lost")) else Ok(result)
    }

    private fun end(lease: LeaseId) {
        leases -= lease
        val keys = leaseOf.filterValues { it == lease }.keys.toList()
        keys.forEach {
            leaseOf -= it
            values -= it
            revision++
        }
    }
}
