/*
 * Decides on requests whose key already has a record in the ledger. No decision leads to a second run:
 * a record can be claimed again only when its state is "not run".
 */
package yuccaferry.decisions.ledger

/** Decision on a request whose key has a record in the ledger. */
sealed interface ArrivalDecision {
    /** The booking has not run; it may be claimed by compare-and-swap on this record. */
    data object ClaimAgain : ArrivalDecision

    /** The booking ran; its stored answer is sent again. */
    data class Replay(
        val status: Int,
        val headers: List<AnswerHeader>,
        val body: AnswerBody.Kept,
    ) : ArrivalDecision

    /** The booking ran; its answer was too large to store. */
    data class AnswerNotKept(
        val status: Int,
        val body: AnswerBody.Dropped,
    ) : ArrivalDecision

    /** Another request holds the claim; its outcome may be written within [atMostMillis]. */
    data class Wait(
        val atMostMillis: Long,
    ) : ArrivalDecision

    /** Whether the booking ran is unknown. */
    data class Unknown(
        val reason: String,
    ) : ArrivalDecision

    /** The key belongs to another request. */
    data object KeyReused : ArrivalDecision
}

/**
 * Decides on a request with [fingerprint] whose key has [record].
 *
 * A claim whose dispatch window has passed still results in [ArrivalDecision.Wait]: its holder may have dispatched.
 */
fun decideArrival(
    record: BookingRecord,
    fingerprint: Fingerprint,
): ArrivalDecision {
    if (record.fingerprint != fingerprint) return ArrivalDecision.KeyReused
    return when (val state = record.state) {
        BookingState.NotRun -> ArrivalDecision.ClaimAgain
        BookingState.Claimed -> ArrivalDecision.Wait(record.claim.lifeMillis)
        is BookingState.Unknown -> ArrivalDecision.Unknown(state.reason)
        is BookingState.Answered -> replay(state.answer)
    }
}

private fun replay(answer: StoredAnswer): ArrivalDecision =
    when (val body = answer.body) {
        is AnswerBody.Kept -> ArrivalDecision.Replay(answer.status, answer.headers, body)
        is AnswerBody.Dropped -> ArrivalDecision.AnswerNotKept(answer.status, body)
    }

/** Meaning of a compare-and-swap conflict for the writer of a claim. */
sealed interface ClaimConflict {
    /** An earlier attempt of the same writer, whose answer was lost, wrote the claim. */
    data object OwnClaim : ClaimConflict

    /** Another write came first. */
    data object Other : ClaimConflict
}

/** Returns whether [current] is the writer's own [claim]. */
fun claimConflict(
    current: BookingRecord,
    claim: Claim,
): ClaimConflict =
    if (current.attempt == claim.attempt && current.state is BookingState.Claimed) ClaimConflict.OwnClaim else ClaimConflict.Other

/** Meaning of a compare-and-swap conflict for the writer of a claim's end. */
sealed interface EndConflict {
    /** An earlier attempt of the same writer, whose answer was lost, wrote the end. */
    data object Done : EndConflict

    /** The record is the claim, written by an attempt whose answer was lost; the end must be written over it. */
    data object OverwriteClaim : EndConflict

    /** The record no longer belongs to this writer. */
    data object Superseded : EndConflict
}

/** Returns what [current], the record found at the conflict, means for the writer of [end]. */
fun endConflict(
    current: BookingRecord?,
    end: BookingRecord,
): EndConflict =
    when (current?.attempt) {
        end.attempt -> EndConflict.Done
        end.claim.attempt -> EndConflict.OverwriteClaim
        else -> EndConflict.Superseded
    }
