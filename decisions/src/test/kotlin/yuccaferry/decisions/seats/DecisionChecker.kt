// Watches a simulated fleet: one decider per seat, epochs that grow, and the grant window between unconnected holders.
package yuccaferry.decisions.seats

import yuccaferry.model.Epoch

internal class DecisionChecker(
    private val settings: SeatSettings,
) {
    private class Last(
        val daemon: SimulatedDaemon,
        val epoch: Epoch,
        val at: Long,
    )

    private val last = HashMap<SeatId, Last>()
    private val imported = HashSet<Pair<SeatId, Epoch>>()
    private val seats = seatIds(settings)

    /** Longest time for which a seat had no decider, since it was last set to zero. */
    var longestGapMillis = 0L

    fun handedOver(
        seat: SeatId,
        epoch: Epoch,
    ) {
        imported += seat to epoch
    }

    fun epoch(
        daemon: SimulatedDaemon,
        seat: SeatId,
        at: Long,
    ): Epoch? = if (daemon.alive) daemon.node.snapshot().mayDecide(seat, daemon.clock(at)) else null

    fun check(
        now: Long,
        daemons: List<SimulatedDaemon>,
    ) = seats.forEach { seat ->
        val deciders = daemons.filter { epoch(it, seat, now) != null }
        check(deciders.size <= 1) { "two deciders of $seat at $now: ${deciders.map { "${it.record.id} ${epoch(it, seat, now)}" }}" }
        deciders.singleOrNull()?.let { note(seat, it, epoch(it, seat, now)!!, now) }
    }

    private fun note(
        seat: SeatId,
        daemon: SimulatedDaemon,
        epoch: Epoch,
        now: Long,
    ) {
        val before = last[seat]
        if (before != null) {
            check(epoch >= before.epoch) { "epoch of $seat shrank from ${before.epoch} to $epoch at $now" }
            val connected = before.daemon === daemon || (seat to epoch) in imported
            val gap = now - before.at
            longestGapMillis = maxOf(longestGapMillis, gap)
            check(connected || gap >= settings.grantWindowMillis * 0.99) {
                "${daemon.record.id} decides for $seat $gap ms after ${before.daemon.record.id}, whose grants are still usable"
            }
        }
        last[seat] = Last(daemon, epoch, now)
    }
}
