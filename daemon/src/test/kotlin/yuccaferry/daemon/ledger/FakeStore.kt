/*
 * A key-value service in virtual time, with leases that expire, and one connection per daemon on which
 * requests and answers are delayed, lost or refused. The service executes a request even if its sender is frozen or killed.
 */
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.PrefixSnapshot
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome

/** Fault of one call to the store. */
internal sealed interface Fault {
    data class None(
        val delayMillis: Long = 1,
    ) : Fault

    data object Refused : Fault

    /** The service executes the call after [executeAfterMillis], or never when null; the sender loses the answer at once. */
    data class AnswerLost(
        val executeAfterMillis: Long?,
    ) : Fault
}

internal class FakeStore(
    private val clock: Clock,
    private val server: CoroutineScope,
) {
    private class Entry(
        val value: StoredValue,
        val lease: LeaseId?,
    )

    private val entries = mutableMapOf<String, Entry>()
    private val leaseEnds = mutableMapOf<LeaseId, Long>()
    private var revision = 0L

    fun get(key: String): StoredValue? {
        val entry = entries[key] ?: return null
        return entry.value.takeIf { entry.lease == null || clock.now().millis < leaseEnds.getValue(entry.lease) }
    }

    fun keys(): Set<String> = entries.keys.filter { get(it) != null }.toSet()

    fun swap(
        key: String,
        expected: Long,
        value: String,
        lease: LeaseId?,
    ): SwapOutcome {
        val current = get(key)
        if ((current?.revision ?: 0) != expected) return SwapOutcome.Conflict(current)
        revision++
        entries[key] = Entry(StoredValue(key, value, revision), lease)
        return SwapOutcome.Written(revision)
    }

    fun grant(ttlSeconds: Long): LeaseId {
        val lease = LeaseId(leaseEnds.size + 1L)
        leaseEnds[lease] = clock.now().millis + ttlSeconds * 1_000
        return lease
    }

    /** Returns a connection that calls [fault] for the fault of each call. */
    fun connect(fault: () -> Fault): KeyValueStore = Connection(fault)

    private inner class Connection(
        private val fault: () -> Fault,
    ) : KeyValueStore {
        private suspend fun <V> call(execute: () -> V): Result<V, StoreError> =
            when (val next = fault()) {
                Fault.Refused -> {
                    Err(StoreError.NotApplied("refused"))
                }

                is Fault.None -> {
                    val answer =
                        server.async {
                            delay(next.delayMillis)
                            execute()
                        }
                    Ok(answer.await())
                }

                is Fault.AnswerLost -> {
                    next.executeAfterMillis?.let {
                        server.launch {
                            delay(it)
                            execute()
                        }
                    }
                    delay(1)
                    Err(StoreError.Uncertain("lost"))
                }
            }

        override suspend fun read(key: String) = call { get(key) }

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
            lease: LeaseId?,
        ) = call { swap(key, expectedRevision, value, lease) }

        override suspend fun grantLease(ttlSeconds: Long) = call { grant(ttlSeconds) }

        override suspend fun readPrefix(
            prefix: String,
            afterRevision: Long,
        ): Result<PrefixSnapshot, StoreError> = error("not used by the ledger")

        override suspend fun deleteIf(
            key: String,
            expectedRevision: Long,
        ): Result<SwapOutcome, StoreError> = error("not used by the ledger")

        override suspend fun renewLease(lease: LeaseId): Result<Boolean, StoreError> = error("not used by the ledger")

        override suspend fun revokeLease(lease: LeaseId): Result<Unit, StoreError> = error("not used by the ledger")
    }
}
