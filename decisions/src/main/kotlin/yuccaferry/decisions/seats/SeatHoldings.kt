/*
 * The seats that this daemon holds, is taking or is giving away. A seat is taken by compare-and-swap with an epoch one
 * higher. A write whose answer was lost is repeated unchanged until it is known to have succeeded or failed: the
 * conflict that a repeat meets shows the writer its own record.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.MonotonicTime

/** Why a seat is taken, which decides what has to be done before this daemon acts for it. */
internal sealed interface TakeReason {
    /** The seat was never held: nothing. */
    data object Fresh : TakeReason

    /** This daemon holds it under an earlier session, or had stopped to give it away: its grants are still here. */
    data object Own : TakeReason

    /** The previous holder's lease is gone: wait out the grant window, then recover the grants. */
    data object Claim : TakeReason

    /** The previous holder gave it with the message [token]: import the grants. */
    data class HandOver(
        val token: Long,
    ) : TakeReason
}

/** What this daemon has to do with one seat at present. */
internal sealed interface Holding {
    /** Acts for the seat while it has the right to. */
    data class Active(
        val entry: ControlEntry.OfSeat,
    ) : Holding

    /** The write that makes this daemon the holder is not known to have succeeded; [acting] goes on meanwhile. */
    data class Taking(
        val write: StoreCall.WriteSeat,
        val reason: TakeReason,
        val acting: ControlEntry.OfSeat?,
        val retryAt: MonotonicTime?,
    ) : Holding

    /** Holds the seat; acts once the grant window has passed, at [from], and the grants are recovered. */
    data class Waiting(
        val entry: ControlEntry.OfSeat,
        val from: MonotonicTime,
    ) : Holding

    /** Holds the seat; acts once the grants are imported or recovered. */
    data class Preparing(
        val entry: ControlEntry.OfSeat,
    ) : Holding

    /** Has stopped acting and waits for the next holder's answer. */
    data class Giving(
        val entry: ControlEntry.OfSeat,
    ) : Holding
}

/** All seats with a [Holding]. */
internal class SeatHoldings(
    private val settings: SeatSettings,
) {
    private val holdings = HashMap<SeatId, Holding>()

    /** Grows at each change. */
    var version = 0L
        private set

    val seats: Set<SeatId> get() = holdings.keys

    operator fun get(seat: SeatId): Holding? = holdings[seat]

    /** Records under which this daemon acts, right permitting. */
    fun acting(): List<ControlEntry.OfSeat> =
        holdings.values.mapNotNull {
            when (it) {
                is Holding.Active -> it.entry
                is Holding.Taking -> it.acting
                is Holding.Waiting, is Holding.Preparing, is Holding.Giving -> null
            }
        }

    /** Starts to take a seat. */
    fun take(
        write: StoreCall.WriteSeat,
        reason: TakeReason,
    ): List<SeatEffect> {
        val acting = (holdings[write.seat] as? Holding.Active)?.entry
        set(write.seat, Holding.Taking(write, reason, acting, retryAt = null))
        return listOf(write)
    }

    /** Stops acting for a seat in order to give it away. */
    fun give(entry: ControlEntry.OfSeat) = set(entry.seat, Holding.Giving(entry))

    /** Forgets a seat that another daemon holds. */
    fun drop(seat: SeatId): List<SeatEffect> {
        set(seat, null)
        return listOf(GrantsCall.Lose(seat))
    }

    /** Repeats writes and starts recoveries that are due. */
    fun tick(now: MonotonicTime): List<SeatEffect> = holdings.keys.toList().mapNotNull { tickOne(it, now) }

    private fun tickOne(
        seat: SeatId,
        now: MonotonicTime,
    ): SeatEffect? {
        val holding = holdings.getValue(seat)
        return when {
            holding is Holding.Taking && holding.retryAt != null && now >= holding.retryAt -> {
                set(seat, holding.copy(retryAt = null))
                holding.write
            }

            holding is Holding.Waiting && now >= holding.from -> {
                set(seat, Holding.Preparing(holding.entry))
                GrantsCall.Recover(seat, holding.entry.record.epoch)
            }

            else -> {
                null
            }
        }
    }

    /** Notes that the grants of a seat were imported or recovered. */
    fun ready(event: SeatEvent.GrantsReady) {
        val holding = holdings[event.seat] as? Holding.Preparing ?: return
        if (holding.entry.record.epoch == event.epoch) set(event.seat, Holding.Active(holding.entry))
    }

    /** Notes the answer to a write. */
    fun written(
        event: SeatEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val call = event.call as StoreCall.WriteSeat
        val holding = holdings[call.seat] as? Holding.Taking ?: return emptyList()
        if (holding.write != call) return emptyList()
        return when (val answer = event.answer) {
            is StoreAnswer.Written -> taken(holding, answer.revision, now)
            is StoreAnswer.Conflict -> conflict(holding, answer.current, now)
            else -> listOf<SeatEffect>().also { set(call.seat, holding.copy(retryAt = now + RETRY_MILLIS)) }
        }
    }

    private fun conflict(
        holding: Holding.Taking,
        current: ControlEntry?,
        now: MonotonicTime,
    ): List<SeatEffect> {
        if (current is ControlEntry.OfSeat && current.record == holding.write.record) return taken(holding, current.revision, now)
        val refusal = (holding.reason as? TakeReason.HandOver)?.let { SeatEffect.AnswerHandOver(it.token, HandOverAnswer.NOT_TAKEN) }
        return listOfNotNull(refusal) + drop(holding.write.seat)
    }

    private fun taken(
        holding: Holding.Taking,
        revision: Long,
        now: MonotonicTime,
    ): List<SeatEffect> {
        val seat = holding.write.seat
        val entry = ControlEntry.OfSeat(seat, holding.write.record, revision)
        return when (val reason = holding.reason) {
            TakeReason.Fresh, TakeReason.Own -> {
                set(seat, Holding.Active(entry))
                emptyList()
            }

            TakeReason.Claim -> {
                set(seat, Holding.Waiting(entry, now + settings.grantWindowMillis))
                emptyList()
            }

            is TakeReason.HandOver -> {
                set(seat, Holding.Preparing(entry))
                listOf(
                    GrantsCall.Import(seat, entry.record.epoch, reason.token),
                    SeatEffect.AnswerHandOver(reason.token, HandOverAnswer.TAKEN),
                )
            }
        }
    }

    private fun set(
        seat: SeatId,
        holding: Holding?,
    ) {
        if (holding == null) holdings -= seat else holdings[seat] = holding
        version++
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
