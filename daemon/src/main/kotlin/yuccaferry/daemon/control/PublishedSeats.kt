// The seat table as published after each decision: immutable parts that any thread reads without a lock.
package yuccaferry.daemon.control

import yuccaferry.daemon.port.Clock
import yuccaferry.decisions.seats.DaemonRecord
import yuccaferry.decisions.seats.Roster
import yuccaferry.decisions.seats.SeatId
import yuccaferry.decisions.seats.SeatNode
import yuccaferry.decisions.seats.SeatSettings
import yuccaferry.decisions.seats.SeatSnapshot
import yuccaferry.decisions.seats.seatOfTarget
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.Target
import java.util.concurrent.ConcurrentHashMap

/** What [publish] last took from the decisions, judged by the present time. */
internal class PublishedSeats(
    override val self: DaemonId,
    private val settings: SeatSettings,
    private val clock: Clock,
    private val configuration: ConfigurationView,
) : SeatTable {
    @Volatile
    private var snapshot = SeatSnapshot(right = null, acting = emptyMap())

    @Volatile
    private var rosters: Map<RegionName, Roster> = emptyMap()
    private var membersVersion = -1L
    private var seatsVersion = -1L
    private val views = ConcurrentHashMap<SeatId, SeatView>()

    @Volatile
    override var members: List<DaemonRecord> = emptyList()
        private set

    @Volatile
    override var requiredConfigurationVersion = ConfigurationVersion.NONE
        private set

    @Volatile
    override var attestedAsOf: MonotonicTime? = null
        private set

    override val confirmed: Boolean
        get() = snapshot.current(clock.now()) && configuration.version >= requiredConfigurationVersion

    /** Takes over the state of [node]; called by one thread at a time. */
    fun publish(node: SeatNode) {
        snapshot = node.snapshot()
        requiredConfigurationVersion = node.requiredConfigurationVersion
        attestedAsOf = node.attestedAsOf
        val control = node.control
        if (membersVersion != control.membershipVersion) {
            membersVersion = control.membershipVersion
            members = control.daemons
        }
        if (seatsVersion != control.seatsVersion) {
            seatsVersion = control.seatsVersion
            rosters = control.rosters
            control.seats.forEach { learn(SeatView(it.seat, it.record.holder.daemon, it.record.peer, it.record.epoch)) }
        }
    }

    override fun roster(region: RegionName): Roster = rosters[region] ?: Roster()

    override fun seatOf(target: Target): SeatId? =
        configuration.regionOf(target.zone)?.let { seatOfTarget(target.id, it, settings.seatsPerRegion) }

    override fun holderOf(target: Target): SeatView? = seatOf(target)?.let(::holderOf)

    override fun holderOf(seat: SeatId): SeatView? = views[seat]

    override fun mayDecide(target: Target): Epoch? = seatOf(target)?.let(::mayDecide)

    override fun mayDecide(seat: SeatId): Epoch? = snapshot.mayDecide(seat, clock.now())

    override fun heldSeats(): List<SeatId> {
        val now = clock.now()
        val current = snapshot
        return current.acting.keys.filter { current.mayDecide(it, now) != null }
    }

    override fun learn(view: SeatView) {
        views.merge(view.seat, view) { known, new -> if (new.epoch > known.epoch) new else known }
    }

    override fun isCurrent(
        seat: SeatId,
        epoch: Epoch,
    ): Boolean = views[seat].let { it == null || epoch >= it.epoch }
}
