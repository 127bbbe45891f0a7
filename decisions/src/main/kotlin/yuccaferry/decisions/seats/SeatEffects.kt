/*
 * What the control of seats asks to be done. Each call to the store or to a peer is answered by exactly one event,
 * a failure included.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.Epoch
import yuccaferry.model.RegionName

/** Something to be done outside the decisions. */
sealed interface SeatEffect {
    /** Answers the hand-over that arrived with [token]. */
    data class AnswerHandOver(
        val token: Long,
        val answer: HandOverAnswer,
    ) : SeatEffect

    /** This daemon has left: it holds no seats and no lease. */
    data object Left : SeatEffect
}

/** A call to the key-value service. */
sealed interface StoreCall : SeatEffect {
    data class GrantLease(
        val ttlMillis: Long,
    ) : StoreCall

    data class RenewLease(
        val session: Session,
    ) : StoreCall

    data class RevokeLease(
        val session: Session,
    ) : StoreCall

    /** Reads every control record written after [afterRevision]. */
    data class ReadControl(
        val afterRevision: Long,
    ) : StoreCall

    /** Reads all daemon records of [region]; what is missing has no lease. */
    data class ReadDaemons(
        val region: RegionName,
    ) : StoreCall

    data class ReadRoster(
        val region: RegionName,
    ) : StoreCall

    /** Writes the record, bound to the lease of its session, by compare-and-swap. */
    data class WriteDaemon(
        val record: DaemonRecord,
        val expectedRevision: Long,
    ) : StoreCall

    data class WriteSeat(
        val seat: SeatId,
        val record: SeatRecord,
        val expectedRevision: Long,
    ) : StoreCall

    data class WriteRoster(
        val region: RegionName,
        val roster: Roster,
        val expectedRevision: Long,
    ) : StoreCall
}

/** A call to another daemon. */
sealed interface PeerCall : SeatEffect {
    data class Attest(
        val member: RosterMember,
        val request: AttestationRequest,
    ) : PeerCall

    data class Promise(
        val member: RosterMember,
        val request: PromiseRequest,
    ) : PeerCall

    /** Exports the grants of [seat] and gives them to [to]. */
    data class HandOver(
        val to: DaemonRecord,
        val seat: SeatId,
        val epoch: Epoch,
        val revision: Long,
        val from: Holder,
    ) : PeerCall
}

/** A call to the grants of one seat. */
sealed interface GrantsCall : SeatEffect {
    val seat: SeatId

    /** Takes over the grants that came with the hand-over [token]. */
    data class Import(
        override val seat: SeatId,
        val epoch: Epoch,
        val token: Long,
    ) : GrantsCall

    /** Collects outstanding grants from all daemons. */
    data class Recover(
        override val seat: SeatId,
        val epoch: Epoch,
    ) : GrantsCall

    /** Forgets the grants. */
    data class Lose(
        override val seat: SeatId,
    ) : GrantsCall
}
