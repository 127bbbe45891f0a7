/*
 * The ledger's record of one booking, a call that must not run twice, and its transitions:
 * claimed, then answered, not run or unknown. Only a record that says "not run" may be claimed again.
 */
package yuccaferry.decisions.ledger

import yuccaferry.model.AttemptId
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime

/**
 * The right of one daemon to dispatch a booking once.
 *
 * @property attempt write that made the claim.
 * @property dispatchWindowMillis time from before the claim was sent within which the dispatch may start.
 * @property lifeMillis time from the claim until its request's deadline; the outcome is known by then or never.
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

    /** The body was too large to keep. */
    data class Dropped(
        val bytes: Int,
        val digest: String,
    ) : AnswerBody
}

/** A service's answer as the ledger keeps it. */
class StoredAnswer(
    val status: Int,
    val headers: List<AnswerHeader>,
    val body: AnswerBody,
)

/** What the ledger knows of a booking. */
sealed interface BookingState {
    /** The claimant may dispatch, or has dispatched; nobody else can tell which. */
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
 * The record of one booking.
 *
 * @property attempt the write that made this version of the record.
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

/** Returns this claimed record with its end; only a claimed record can end. */
fun BookingRecord.ended(
    attempt: AttemptId,
    state: BookingState,
): BookingRecord {
    require(this.state is BookingState.Claimed) { "only a claim can end" }
    require(state !is BookingState.Claimed) { "a claim is not an end" }
    return copy(attempt = attempt, state = state)
}

/** Returns the answer to keep for a service's answer, without its body when that exceeds [maxBytes]. */
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

/** Whether a dispatch may start [now] under a claim whose window ends at [dispatchBefore]. */
fun mayDispatch(
    now: MonotonicTime,
    dispatchBefore: MonotonicTime,
): Boolean = now < dispatchBefore
