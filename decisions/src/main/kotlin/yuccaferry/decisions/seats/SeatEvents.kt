// What happens to the control of seats: passing of time, answers and requests.
package yuccaferry.decisions.seats

import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** One event; each carries all that the decision needs but the time at which it is handled. */
sealed interface SeatEvent {
    /** Time has passed. */
    data object Tick : SeatEvent

    /** This daemon is to leave gracefully. */
    data object Leave : SeatEvent

    /** [call], sent at [sentAt], was answered. */
    data class StoreAnswered(
        val call: StoreCall,
        val sentAt: MonotonicTime,
        val answer: StoreAnswer,
    ) : SeatEvent

    /** A roster member answered; [answer] is null when it could not be reached. */
    data class AttestationAnswered(
        val call: PeerCall.Attest,
        val sentAt: MonotonicTime,
        val answer: AttestationAnswer?,
    ) : SeatEvent

    /** A roster member answered; [answer] is null when it could not be reached. */
    data class PromiseAnswered(
        val call: PeerCall.Promise,
        val answer: PromiseAnswer?,
    ) : SeatEvent

    /** The receiver of a seat answered; [answer] is null when that is unknown. */
    data class HandOverAnswered(
        val call: PeerCall.HandOver,
        val answer: HandOverAnswer?,
    ) : SeatEvent

    /** A peer gives a seat; the answer refers to [token]. */
    data class HandOverReceived(
        val token: Long,
        val request: HandOverRequest,
    ) : SeatEvent

    /** The grants of [seat] were imported or recovered under [epoch]. */
    data class GrantsReady(
        val seat: SeatId,
        val epoch: Epoch,
    ) : SeatEvent
}

/** Answer of the key-value service to a [StoreCall]. */
sealed interface StoreAnswer {
    data class Granted(
        val session: Session,
    ) : StoreAnswer

    /** [alive] is false when the lease had lapsed. */
    data class Renewed(
        val alive: Boolean,
    ) : StoreAnswer

    data object Revoked : StoreAnswer

    /** Records seen by a read at [revision]. */
    data class Contents(
        val revision: Long,
        val entries: List<ControlEntry>,
    ) : StoreAnswer

    data class Written(
        val revision: Long,
    ) : StoreAnswer

    /** The compare-and-swap found [current] instead of what was expected. */
    data class Conflict(
        val current: ControlEntry?,
    ) : StoreAnswer

    /** No answer; a write may have taken effect or still do so. */
    data object Failed : StoreAnswer
}

/** One stored record with its revision. */
sealed interface ControlEntry {
    val revision: Long

    data class OfDaemon(
        val record: DaemonRecord,
        override val revision: Long,
    ) : ControlEntry

    data class OfSeat(
        val seat: SeatId,
        val record: SeatRecord,
        override val revision: Long,
    ) : ControlEntry

    data class OfRoster(
        val region: RegionName,
        val roster: Roster,
        override val revision: Long,
    ) : ControlEntry
}
