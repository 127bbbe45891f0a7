// Maps the store calls of the control of shards to the key-value service.
package yuccaferry.daemon.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.PrefixSnapshot
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.shards.Session
import yuccaferry.decisions.shards.StoreAnswer
import yuccaferry.decisions.shards.StoreCall

private const val MILLIS_PER_SECOND = 1_000L

/** Reads and writes control records in [store], and counts the calls by kind and result. */
internal class ControlStore(
    private val store: KeyValueStore,
    private val telemetry: Telemetry,
) {
    suspend fun perform(call: StoreCall): StoreAnswer {
        val answer = answer(call)
        val result = if (answer == StoreAnswer.Failed) "failed" else "answered"
        telemetry.count("control_store_calls", 1.0, Field("kind", kind(call)), Field("result", result))
        return answer
    }

    private suspend fun answer(call: StoreCall): StoreAnswer =
        when (call) {
            is StoreCall.GrantLease -> {
                answer(store.grantLease(call.ttlMillis / MILLIS_PER_SECOND)) { StoreAnswer.Granted(sessionOf(it)) }
            }

            is StoreCall.RenewLease -> {
                answer(store.renewLease(LeaseId(call.session.value))) { StoreAnswer.Renewed(it) }
            }

            is StoreCall.RevokeLease -> {
                answer(store.revokeLease(LeaseId(call.session.value))) { StoreAnswer.Revoked }
            }

            is StoreCall.ReadControl -> {
                answer(store.readPrefix(CONTROL_PREFIX, call.afterRevision), ::contents)
            }

            is StoreCall.ReadDaemons -> {
                answer(store.readPrefix(daemonsPrefix(call.region)), ::contents)
            }

            is StoreCall.ReadVoterSet -> {
                answer(store.read(voterSetKey(call.region))) { StoreAnswer.Contents(it?.revision ?: 0, listOfNotNull(it?.let(::entry))) }
            }

            is StoreCall.WriteDaemon -> {
                val lease = LeaseId(call.record.session.value)
                swap(daemonKey(call.record.region, call.record.id), call.expectedRevision, encodeRecord(call.record), lease)
            }

            is StoreCall.WriteShard -> {
                swap(shardKey(call.shard), call.expectedRevision, encodeRecord(call.record))
            }

            is StoreCall.WriteVoterSet -> {
                swap(voterSetKey(call.region), call.expectedRevision, encodeRecord(call.voterSet))
            }
        }

    private suspend fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId? = null,
    ): StoreAnswer =
        answer(store.compareAndSwap(key, expectedRevision, value, lease)) { outcome ->
            when (outcome) {
                is SwapOutcome.Written -> StoreAnswer.Written(outcome.revision)
                is SwapOutcome.Conflict -> StoreAnswer.Conflict(outcome.current?.let(::entry))
            }
        }

    private fun contents(snapshot: PrefixSnapshot) = StoreAnswer.Contents(snapshot.revision, snapshot.values.mapNotNull(::entry))

    private fun entry(stored: StoredValue) =
        controlEntry(stored).also {
            if (it == null) telemetry.event("control_record_unreadable", Field("key", stored.key), severity = Severity.ERROR)
        }

    private fun <T> answer(
        result: Result<T, StoreError>,
        success: (T) -> StoreAnswer,
    ): StoreAnswer =
        result.mapBoth(
            success = success,
            failure = {
                telemetry.event("control_store_failed", Field("error", it.message), severity = Severity.DEBUG)
                StoreAnswer.Failed
            },
        )

    private fun sessionOf(lease: LeaseId) = Session(lease.value)

    private fun kind(call: StoreCall) =
        when (call) {
            is StoreCall.GrantLease -> "grant_lease"
            is StoreCall.RenewLease -> "renew_lease"
            is StoreCall.RevokeLease -> "revoke_lease"
            is StoreCall.ReadControl -> "read_changes"
            is StoreCall.ReadDaemons -> "read_daemons"
            is StoreCall.ReadVoterSet -> "read_roster"
            is StoreCall.WriteDaemon -> "write_daemon"
            is StoreCall.WriteShard -> "write_seat"
            is StoreCall.WriteVoterSet -> "write_roster"
        }
}
