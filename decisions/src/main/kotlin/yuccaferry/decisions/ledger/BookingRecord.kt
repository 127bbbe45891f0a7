/*
 * Ledger record of one booking, a call that must not run twice, and its transitions: claimed, then
 * answered, not run or unknown. Only a record in state "not run" may be claimed again.
 */
package yuccaferry.decisions.ledger

import yuccaferry.model.AttemptId
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime

/**
 * Right of one daemon to dispatch a booking once.
 *
 * @property attempt identifies the write that made the claim.
 * @property dispatchWindowMillis time within which the dispatch may start, measured from before the claim was sent.
 * @property lifeMillis time from the claim until its request's deadline; an outcome not known by then stays unknown.
 */
data class Claim(
    val attempt: AttemptId,
    val claimant: DaemonId,
    val dispatchWindowMillis: Long,
    val lifeMillis: Long,
)

/** One header line of a stored answer. */
data class AnswerHeader(
    val name: String,
    val value: String,
)

/** Body of a stored answer. */
sealed interface AnswerBody {
    /** The whole body. */
    class Kept(
        val bytes: ByteArray,
    ) : AnswerBody

    /** The body was too large to store. */
    data class Dropped(
        val bytes: Int,
        val digest: String,
    ) : AnswerBody
}

/** A service's answer as the ledger stores it. */
class StoredAnswer(
    val status: Int,
    val headers: List<AnswerHeader>,
    val body: AnswerBody,
)

/** State of a booking in the ledger. */
sealed interface BookingState {
    /** The claimant may dispatch or has dispatched; other daemons can't tell which. */
    data object Claimed : BookingState

    /** The service ran the booking and answered. */
    data class Answered(
        val answer: StoredAnswer,
    ) : BookingState

    /** The claim ended without a run; the booking may be claimed again. */
    data object NotRun : BookingState

    /** The request may have reached the service; it is never sent again. */
    data class Unknown(
        val reason: String,
    ) : BookingState
}

/**
 * Record of one booking.
 *
 * @property attempt identifies the write that made this version of the record.
 */
data class BookingRecord(
    val attempt: AttemptId,
    val fingerprint: Fingerprint,
    val claim: Claim,
    val state: BookingState,
) {
    companion object {
        /** Returns the record that makes [claim]. */
        fun claimed(
            fingerprint: Fingerprint,
            claim: Claim,
        ) = BookingRecord(claim.attempt, fingerprint, claim, BookingState.Claimed)
    }
}

/**
 * Returns this record, which is claimed, with [state] as its end.
 *
 * @throws IllegalArgumentException if this record is not claimed, or [state] is.
 */
fun BookingRecord.ended(
    attempt: AttemptId,
    state: BookingState,
): BookingRecord {
    require(this.state is BookingState.Claimed) { "only a claimed record can end" }
    require(state !is BookingState.Claimed) { "a record can't end as claimed" }
    return copy(attempt = attempt, state = state)
}

/** Returns the answer to store for a service's answer; without headers and body when these exceed [maxBytes] together. */
fun storedAnswer(
    status: Int,
    headers: List<AnswerHeader>,
    body: ByteArray,
    maxBytes: Int,
): StoredAnswer {
    val headerBytes = headers.sumOf { it.name.length + it.value.length }
    if (body.size + headerBytes <= maxBytes) return StoredAnswer(status, headers, AnswerBody.Kept(body))
    return StoredAnswer(status, emptyList(), AnswerBody.Dropped(body.size, bodyDigest(body)))
}

/** Returns whether a dispatch may start [now] under a claim whose window ends at [dispatchBefore]. */
fun mayDispatch(
    now: MonotonicTime,
    dispatchBefore: MonotonicTime,
): Boolean = now < dispatchBefore
