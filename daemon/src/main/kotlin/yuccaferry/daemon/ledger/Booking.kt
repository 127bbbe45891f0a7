// What the booking ledger is asked to run, what comes back, and its settings.
package yuccaferry.daemon.ledger

import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.TargetError
import yuccaferry.decisions.ledger.Fingerprint
import yuccaferry.model.AccountName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName

/** Who chose a booking's idempotency key. */
enum class KeyOrigin {
    /** The caller; the key may have been used before, here or at another daemon. */
    CALLER,

    /** This daemon, for this call only. */
    DAEMON,
}

/**
 * One call that must not run twice.
 *
 * @property dispatchBefore the dispatch must start before this time, such as the end of the grant that it uses.
 * @property deadline time by which the caller is answered.
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

/** Share of the time left, and its bound in milliseconds, that is kept for telling the caller. */
private const val ANSWER_SHARE = 10
private const val MOST_ANSWER_MILLIS = 300L

/** Time by which a claim or a wait that starts at [now] must end, so that the caller is told its result in time. */
internal fun Booking.decideBy(now: MonotonicTime): MonotonicTime {
    val left = deadline - now
    val reserve = (left / ANSWER_SHARE).coerceIn(0, MOST_ANSWER_MILLIS)
    return now + (left - reserve)
}

/** How a booking's one dispatch ended. */
sealed interface DispatchOutcome {
    /** The service answered, with any status. */
    class Answered(
        val answer: ServiceAnswer,
    ) : DispatchOutcome

    /** The service gave no whole answer. */
    data class Failed(
        val error: TargetError,
    ) : DispatchOutcome
}

/**
 * The service's answer to a booking.
 *
 * @property replayed the booking ran for an earlier request with the same key.
 */
class BookingAnswer(
    val answer: ServiceAnswer,
    val replayed: Boolean,
)

/**
 * Settings of the ledger.
 *
 * @property dispatchWindowMillis time from before a claim is sent within which its dispatch may start.
 * @property maxPending bookings of this daemon that are claimed, running or waiting for their outcome to be written.
 * @property maxStoredAnswerBytes size of headers and body above which an answer is stored without them.
 * @property retentionSeconds time for which a record is kept at least.
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
