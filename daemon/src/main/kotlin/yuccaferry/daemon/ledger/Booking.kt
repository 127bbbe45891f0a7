// Requests to the booking ledger, their outcomes, and the ledger's settings.
package yuccaferry.daemon.ledger

import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.TargetError
import yuccaferry.decisions.ledger.Fingerprint
import yuccaferry.model.AccountName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName

/** Origin of a booking's idempotency key. */
enum class KeyOrigin {
    /** The caller; the key may have been used before, here or at another daemon. */
    CALLER,

    /** This daemon; the key is used for this call only. */
    DAEMON,
}

/**
 * One call that must not run twice.
 *
 * @property dispatchBefore time before which the dispatch must start, such as the end of the grant that it uses.
 * @property deadline time by which the caller must be answered.
 */
data class Booking(
    val account: AccountName,
    val service: ServiceName,
    val idempotencyKey: String,
    val keyOrigin: KeyOrigin,
    val fingerprint: Fingerprint,
    val dispatchBefore: MonotonicTime,
    val deadline: MonotonicTime,
)

/** Divisor of the time left; the quotient is reserved for answering the caller. */
private const val ANSWER_RESERVE_DIVISOR = 10

/** Maximum time reserved for answering the caller. */
private const val MAX_ANSWER_RESERVE_MILLIS = 300L

/** Returns the time by which a claim or a wait that starts at [now] must end, so that the caller is answered in time. */
internal fun Booking.internalDeadline(now: MonotonicTime): MonotonicTime {
    val left = deadline - now
    val reserve = (left / ANSWER_RESERVE_DIVISOR).coerceIn(0, MAX_ANSWER_RESERVE_MILLIS)
    return now + (left - reserve)
}

/** Outcome of a booking's only dispatch. */
sealed interface DispatchOutcome {
    /** The service answered, with any status. */
    class Answered(
        val answer: ServiceAnswer,
    ) : DispatchOutcome

    /** The service returned no complete answer. */
    data class Failed(
        val error: TargetError,
    ) : DispatchOutcome
}

/**
 * The service's answer to a booking.
 *
 * @property replayed whether the booking ran for an earlier request with the same key.
 */
class BookingAnswer(
    val answer: ServiceAnswer,
    val replayed: Boolean,
)

/**
 * Settings of the ledger.
 *
 * @property dispatchWindowMillis time within which the dispatch may start, measured from before the claim is sent.
 * @property maxPending maximum number of bookings of this daemon that are claimed, running or waiting for their outcome to be written.
 * @property maxStoredAnswerBytes total size of headers and body above which an answer is stored without them.
 * @property retentionSeconds minimum time for which a record is kept.
 * @property leaseSeconds time for which new records share one retention lease.
 */
data class LedgerSettings(
    val dispatchWindowMillis: Long = 3_000,
    val maxPending: Int = 256,
    val maxStoredAnswerBytes: Int = 65_536,
    val retentionSeconds: Long = 86_400,
    val leaseSeconds: Long = 3_600,
    val claimBackoff: BackoffSettings = BackoffSettings(baseMillis = 20, maxMillis = 500),
    val outcomeBackoff: BackoffSettings = BackoffSettings(baseMillis = 50, maxMillis = 5_000),
    val waitBackoff: BackoffSettings = BackoffSettings(baseMillis = 25, maxMillis = 1_000),
)
