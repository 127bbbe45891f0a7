/*
 * Which seats this daemon takes and gives away: compares the desired spread with the seats' records, claims those of
 * holders whose lease is gone, and hands over those that another daemon should hold.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.SeatNumber

/** Seats of one daemon. */
internal class Seating(
    private val template: DaemonRecord,
    private val settings: SeatSettings,
    private val view: ControlView,
    private val lease: LeaseKeeper,
) {
    private val seats = (0 until settings.seatsPerRegion).map { SeatId(template.region, SeatNumber(it)) }
    private val holdings = SeatHoldings(settings)
    private val claims = ClaimBook(template.region, settings)
    private val releasedRevision = HashMap<SeatId, Long>()
    private val giveAgainAt = HashMap<SeatId, MonotonicTime>()
    private var desired: Map<SeatId, DaemonId> = emptyMap()
    private var desiredVersion = -1L

    /** Grows when the seats held change. */
    val version: Long get() = holdings.version

    /** Whether this daemon holds and takes no seat. */
    val empty: Boolean get() = holdings.seats.isEmpty()

    fun acting(): Map<SeatId, SeatRecord> = holdings.acting().associate { it.seat to it.record }

    fun ready(event: SeatEvent.GrantsReady) = holdings.ready(event)

    fun promised(
        event: SeatEvent.PromiseAnswered,
        now: MonotonicTime,
    ) = claims.promised(event, now)

    fun rosterRead(
        event: SeatEvent.StoreAnswered,
        now: MonotonicTime,
    ) = claims.rosterRead(event, view, now)

    /** Takes, gives and claims what is due. */
    fun tick(now: MonotonicTime): List<SeatEffect> {
        val effects = ArrayList<SeatEffect>()
        effects += dropLost()
        effects += holdings.tick(now)
        val holder = lease.holder
        if (holder == null || !lease.valid(now)) return effects
        if (desiredVersion != view.membershipVersion) updateDesired()
        effects += claims.tick(deadHolders(), view, now)
        seats.forEach { effects += settle(it, holder, now) }
        return effects
    }

    /** Answers a seat that a peer gives to this daemon. */
    fun offered(
        event: SeatEvent.HandOverReceived,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val request = event.request
        val holder = lease.holder
        val fit = holder != null && lease.valid(now) && lease.state == DaemonState.SERVING && request.seat in seats
        if (!fit || holdings[request.seat] != null) {
            return listOf(SeatEffect.AnswerHandOver(event.token, HandOverAnswer.NOT_TAKEN))
        }
        val record = SeatRecord(holder, template.peer, Epoch(request.epoch.value + 1))
        return holdings.take(StoreCall.WriteSeat(request.seat, record, request.revision), TakeReason.HandOver(event.token))
    }

    /** Notes the answer to a hand-over; unless it was taken, this daemon takes the seat back. */
    fun handedOver(
        event: SeatEvent.HandOverAnswered,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val call = event.call
        val holding = holdings[call.seat] as? Holding.Giving ?: return emptyList()
        if (holding.entry.record.epoch != call.epoch) return emptyList()
        if (event.answer == HandOverAnswer.TAKEN) {
            releasedRevision[call.seat] = holding.entry.revision
            return holdings.drop(call.seat)
        }
        giveAgainAt[call.seat] = now + GIVE_AGAIN_MILLIS
        val holder = lease.holder ?: return emptyList()
        return holdings.take(write(holder, call.seat, holding.entry), TakeReason.Own)
    }

    /** Notes the answer to the write of a seat. */
    fun written(
        event: SeatEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val call = event.call as StoreCall.WriteSeat
        when (val answer = event.answer) {
            is StoreAnswer.Written -> view.note(ControlEntry.OfSeat(call.seat, call.record, answer.revision))
            is StoreAnswer.Conflict -> answer.current?.let(view::note)
            else -> Unit
        }
        return holdings.written(event, now)
    }

    private fun settle(
        seat: SeatId,
        holder: Holder,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val entry = view.seat(seat)
        val holding = holdings[seat]
        val wanted = desired[seat] == template.id && lease.state == DaemonState.SERVING
        return when {
            holding is Holding.Active && holding.entry.record.holder != holder -> {
                holdings.take(write(holder, seat, holding.entry), TakeReason.Own)
            }

            holding is Holding.Active && !wanted -> {
                give(holding.entry, holder, now)
            }

            holding != null || !wanted -> {
                emptyList()
            }

            entry == null -> {
                holdings.take(write(holder, seat, null), TakeReason.Fresh)
            }

            claimable(entry, now) -> {
                holdings.take(write(holder, seat, entry), TakeReason.Claim)
            }

            else -> {
                emptyList()
            }
        }
    }

    private fun give(
        entry: ControlEntry.OfSeat,
        holder: Holder,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val next = desired[entry.seat]?.takeIf { it != template.id }?.let(view::daemon) ?: return emptyList()
        if (giveAgainAt[entry.seat].let { it != null && now < it }) return emptyList()
        if (holdings.seats.count { holdings[it] is Holding.Giving } >= HAND_OVERS_AT_ONCE) return emptyList()
        holdings.give(entry)
        return listOf(PeerCall.HandOver(next, entry.seat, entry.record.epoch, entry.revision, holder))
    }

    /** Whether the holder can't act any more. A record of this very daemon is one that it has lost track of. */
    private fun claimable(
        entry: ControlEntry.OfSeat,
        now: MonotonicTime,
    ): Boolean {
        val holder = entry.record.holder
        if (holder.daemon == template.id) return entry.revision > (releasedRevision[entry.seat] ?: 0)
        return claims.fenced(holder, now)
    }

    /** Holders whose lease is gone and whose seats this daemon should hold. */
    private fun deadHolders(): Set<Holder> {
        if (lease.state != DaemonState.SERVING) return emptySet()
        val wanted = seats.filter { desired[it] == template.id && holdings[it] == null }.mapNotNull { view.seat(it) }
        val holders = wanted.map { it.record.holder }.filter { it.daemon != template.id }
        return holders.filterTo(HashSet()) { (view.absentMillis(it.daemon) ?: -1) >= settings.absenceGraceMillis }
    }

    /** Drops seats of which a newer record names another holder. */
    private fun dropLost(): List<SeatEffect> =
        holdings.seats.toList().flatMap { seat ->
            val entry =
                when (val holding = holdings[seat]) {
                    is Holding.Active -> holding.entry
                    is Holding.Waiting -> holding.entry
                    is Holding.Preparing -> holding.entry
                    is Holding.Giving, is Holding.Taking, null -> null
                }
            val newest = view.seat(seat)
            if (entry != null && newest != null && newest.revision > entry.revision) holdings.drop(seat) else emptyList()
        }

    private fun updateDesired() {
        desiredVersion = view.membershipVersion
        desired = spreadSeats(seats, view.serving().map { it.id })
    }

    private fun write(
        holder: Holder,
        seat: SeatId,
        previous: ControlEntry.OfSeat?,
    ): StoreCall.WriteSeat {
        val epoch = Epoch((previous?.record?.epoch?.value ?: 0) + 1)
        return StoreCall.WriteSeat(seat, SeatRecord(holder, template.peer, epoch), previous?.revision ?: 0)
    }

    private companion object {
        const val GIVE_AGAIN_MILLIS = 5_000L
        const val HAND_OVERS_AT_ONCE = 4
    }
}
