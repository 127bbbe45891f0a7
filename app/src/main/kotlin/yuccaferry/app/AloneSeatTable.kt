// A seat table for a daemon that decides over every target by itself.
package yuccaferry.app

import yuccaferry.daemon.control.SeatTable
import yuccaferry.daemon.control.SeatView
import yuccaferry.decisions.seats.DaemonRecord
import yuccaferry.decisions.seats.SeatId
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.SeatNumber
import yuccaferry.model.Target

internal class AloneSeatTable(
    override val self: DaemonId,
    private val address: Address,
) : SeatTable {
    private val seat = SeatId(RegionName("all"), SeatNumber(0))
    private val epoch = Epoch(1)

    override val members: List<DaemonRecord> = emptyList()

    override fun seatOf(target: Target): SeatId = seat

    override fun holderOf(target: Target): SeatView = holderOf(seat)

    override fun holderOf(seat: SeatId): SeatView = SeatView(seat, self, address, epoch)

    override fun mayDecide(target: Target): Epoch = epoch

    override fun mayDecide(seat: SeatId): Epoch = epoch

    override fun heldSeats(): List<SeatId> = listOf(seat)

    override fun learn(view: SeatView) = Unit

    override fun isCurrent(
        seat: SeatId,
        epoch: Epoch,
    ): Boolean = true

    override val confirmed = true
    override val requiredConfigurationVersion: ConfigurationVersion = ConfigurationVersion.NONE
    override val currentAsOf: MonotonicTime? = null
}
