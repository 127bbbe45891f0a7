// A key-value service for simulations: linearizable, with leases on its own clock.
package yuccaferry.decisions.seats

import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName

internal class SimulatedStore {
    private val daemons = HashMap<DaemonId, ControlEntry.OfDaemon>()
    private val seats = HashMap<SeatId, ControlEntry.OfSeat>()
    private val rosters = HashMap<RegionName, ControlEntry.OfRoster>()
    private val leases = HashMap<Session, Long>()
    private var revision = 1L
    private var sessions = 0L

    val roster: Roster get() = rosters.values.singleOrNull()?.roster ?: Roster()

    fun handle(
        call: StoreCall,
        at: Long,
    ): StoreAnswer {
        lapse(at)
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

            is StoreCall.ReadRoster -> {
                contents { it is ControlEntry.OfRoster && it.region == call.region }
            }

            is StoreCall.WriteDaemon -> {
                writeDaemon(call)
            }

            is StoreCall.WriteSeat -> {
                swap(seats, call.seat, call.expectedRevision) { ControlEntry.OfSeat(call.seat, call.record, it) }
            }

            is StoreCall.WriteRoster -> {
                swap(
                    rosters,
                    call.region,
                    call.expectedRevision,
                ) { ControlEntry.OfRoster(call.region, call.roster, it) }
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
        StoreAnswer.Contents(revision, (daemons.values + seats.values + rosters.values).filter(choose))

    private fun lapse(at: Long) =
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
