/*
 * What to do with a request whose key the ledger knows already. Nothing here ever leads to a second run:
 * a record can be claimed again only when it says that the booking did not run.
 */
package yuccaferry.decisions.ledger

/** What to do with a request that arrives while the ledger holds a record of its key. */
sealed interface ArrivalDecision {
    /** The booking has not run; it may be claimed by compare-and-swap on this record. */
    data object ClaimAgain : ArrivalDecision

    /** The booking ran; repeat its answer. */
    data class Replay(
        val status: Int,
        val headers: List<AnswerHeader>,
        val body: AnswerBody.Kept,
    ) : ArrivalDecision

    /** The booking ran; its answer was too large to keep. */
    data class AnswerNotKept(
        val status: Int,
        val body: AnswerBody.Dropped,
    ) : ArrivalDecision

    /** Another request holds the claim; its outcome may still be written within [atMostMillis]. */
    data class Wait(
        val atMostMillis: Long,
    ) : ArrivalDecision

    /** It can't be told whether the booking ran. */
    data class Unknown(
        val reason: String,
    ) : ArrivalDecision

    /** The key belongs to another request. */
    data object KeyReused : ArrivalDecision
}

/**
 * Decides on a request with [fingerprint] whose key has [record].
 *
 * A claim whose dispatch window has passed still gives [ArrivalDecision.Wait]: its holder may have dispatched.
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

/** What a compare-and-swap that conflicted means to the writer of a claim. */
sealed interface ClaimConflict {
    /** The claim was written by an earlier try whose answer was lost. */
    data object OwnClaim : ClaimConflict

    /** Another write came first. */
    data object Other : ClaimConflict
}

/** Tells whether [current] is the writer's own claim [claim]. */
fun claimConflict(
    current: BookingRecord,
    claim: Claim,
): ClaimConflict =
    if (current.attempt == claim.attempt && current.state is BookingState.Claimed) ClaimConflict.OwnClaim else ClaimConflict.Other

/** What a compare-and-swap that conflicted means to the writer of a claim's end. */
sealed interface EndConflict {
    /** The end was written by an earlier try whose answer was lost. */
    data object Done : EndConflict

    /** The claim itself was written by a try whose answer was lost; write the end over it. */
    data object OverOwnClaim : EndConflict

    /** The record is no longer this writer's. */
    data object Superseded : EndConflict
}

/** Tells what finding [current] means to the writer of [end]. */
fun endConflict(
    current: BookingRecord?,
    end: BookingRecord,
): EndConflict =
    when (current?.attempt) {
        end.attempt -> EndConflict.Done
        end.claim.attempt -> EndConflict.OverOwnClaim
        else -> EndConflict.Superseded
    }
