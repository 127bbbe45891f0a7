// A key-value service for simulations: linearizable, with leases on its own clock.
package yuccaferry.decisions.shards

import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName

internal class SimulatedStore {
    private val daemons = HashMap<DaemonId, ControlEntry.OfDaemon>()
    private val shards = HashMap<ShardId, ControlEntry.OfShard>()
    private val voterSets = HashMap<RegionName, ControlEntry.OfVoterSet>()
    private val leases = HashMap<Session, Long>()
    private var revision = 1L
    private var sessions = 0L

    val voterSet: VoterSet get() = voterSets.values.singleOrNull()?.voterSet ?: VoterSet()

    fun handle(
        call: StoreCall,
        at: Long,
    ): StoreAnswer {
        expireLeases(at)
        return when (call) {
            is StoreCall.GrantLease -> {
                StoreAnswer.Granted(Session(++sessions).also { leases[it] = at + call.ttlMillis })
            }

            is StoreCall.RenewLease -> {
                StoreAnswer.Renewed(leases.computeIfPresent(call.session) { _, _ -> at + LEASE_MILLIS } != null)
            }

            is StoreCall.RevokeLease -> {
                StoreAnswer.Revoked.also { end(call.session) }
            }

            is StoreCall.ReadControl -> {
                contents { it.revision > call.afterRevision }
            }

            is StoreCall.ReadDaemons -> {
                contents { it is ControlEntry.OfDaemon && it.record.region == call.region }
            }

            is StoreCall.ReadVoterSet -> {
                contents { it is ControlEntry.OfVoterSet && it.region == call.region }
            }

            is StoreCall.WriteDaemon -> {
                writeDaemon(call)
            }

            is StoreCall.WriteShard -> {
                swap(shards, call.shard, call.expectedRevision) { ControlEntry.OfShard(call.shard, call.record, it) }
            }

            is StoreCall.WriteVoterSet -> {
                swap(
                    voterSets,
                    call.region,
                    call.expectedRevision,
                ) { ControlEntry.OfVoterSet(call.region, call.voterSet, it) }
            }
        }
    }

    private fun writeDaemon(call: StoreCall.WriteDaemon): StoreAnswer {
        if (call.record.session !in leases) return StoreAnswer.Failed
        return swap(daemons, call.record.id, call.expectedRevision) { ControlEntry.OfDaemon(call.record, it) }
    }

    private fun <K, E : ControlEntry> swap(
        entries: HashMap<K, E>,
        key: K,
        expected: Long,
        make: (Long) -> E,
    ): StoreAnswer {
        val current = entries[key]
        if ((current?.revision ?: 0) != expected) return StoreAnswer.Conflict(current)
        entries[key] = make(++revision)
        return StoreAnswer.Written(revision)
    }

    private fun contents(choose: (ControlEntry) -> Boolean) =
        StoreAnswer.Contents(revision, (daemons.values + shards.values + voterSets.values).filter(choose))

    private fun expireLeases(at: Long) =
        leases
            .filterValues { it <= at }
            .keys
            .toList()
            .forEach(::end)

    private fun end(session: Session) {
        leases -= session
        if (daemons.values.removeIf { it.record.session == session }) revision++
    }

    companion object {
        const val LEASE_MILLIS = 15_000L
    }
}
