// The seat table of a daemon that has not joined the fleet yet: it decides over nothing and confirms nothing.
package yuccaferry.app

import yuccaferry.daemon.control.SeatTable
import yuccaferry.daemon.control.SeatView
import yuccaferry.decisions.seats.DaemonRecord
import yuccaferry.decisions.seats.Roster
import yuccaferry.decisions.seats.SeatId
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.Target

internal class StartingSeatTable(
    override val self: DaemonId,
) : SeatTable {
    override val members: List<DaemonRecord> = emptyList()

    override fun seatOf(target: Target): SeatId? = null

    override fun holderOf(target: Target): SeatView? = null

    override fun holderOf(seat: SeatId): SeatView? = null

    override fun mayDecide(target: Target): Epoch? = null

    override fun mayDecide(seat: SeatId): Epoch? = null

    override fun heldSeats(): List<SeatId> = emptyList()

    override fun learn(view: SeatView) = Unit

    override fun isCurrent(
        seat: SeatId,
        epoch: Epoch,
    ): Boolean = false

    override val confirmed = false
    override val requiredConfigurationVersion: ConfigurationVersion = ConfigurationVersion.NONE
    override val attestedAsOf: MonotonicTime? = null

    override fun roster(region: RegionName): Roster = Roster()
}
