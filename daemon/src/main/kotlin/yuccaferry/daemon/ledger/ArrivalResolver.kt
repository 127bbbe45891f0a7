/*
 * Answers a request whose key already has a record in the ledger: repeats the stored answer, waits for the outcome
 * of another request that holds the claim, or refuses. A refusal says "unknown" unless the record shows whether the call ran.
 */
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOr
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.decisions.ledger.ArrivalDecision
import yuccaferry.decisions.ledger.BookingState
import yuccaferry.decisions.ledger.LedgerKey
import yuccaferry.decisions.ledger.decideArrival
import yuccaferry.model.Execution
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import kotlin.random.Random

/** Time after the deadline of the claim's request for which its outcome is still awaited. */
private const val OUTCOME_GRACE_MILLIS = 2_000L

/** Result of resolving a request whose key has a record. */
internal sealed interface Resolution {
    /** The request is answered. */
    data class Final(
        val result: Result<BookingAnswer, Refusal>,
    ) : Resolution

    /** The booking has not run; it may be claimed by compare-and-swap on [revision]. */
    data class Claimable(
        val revision: Long,
    ) : Resolution
}

/** Resolves requests whose idempotency key already has a record. */
internal class ArrivalResolver(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val settings: LedgerSettings,
    private val random: Random,
) {
    /** Resolves [booking] against the record in [found]; waits for the outcome if another request holds the claim. */
    suspend fun resolve(
        booking: Booking,
        key: LedgerKey,
        found: StoredValue,
    ): Resolution {
        var current = found
        while (true) {
            val record = decodeRecord(current.value) ?: return unknown("the ledger's record can't be read")
            when (val decision = decideArrival(record, booking.fingerprint)) {
                ArrivalDecision.ClaimAgain -> return Resolution.Claimable(current.revision)
                ArrivalDecision.KeyReused -> return keyReused()
                is ArrivalDecision.Replay -> return replay(decision)
                is ArrivalDecision.AnswerNotKept -> return notKept(decision)
                is ArrivalDecision.Unknown -> return unknown(decision.reason)
                is ArrivalDecision.Wait -> current = awaitEnd(key, waitEnd(booking, decision)) ?: return unknown("no outcome is recorded")
            }
        }
    }

    /** Reads the record of [key]; fails if the store does not answer before [until]. */
    suspend fun read(
        key: LedgerKey,
        until: MonotonicTime,
    ): Result<StoredValue?, StoreError> =
        withTimeoutOrNull(until - clock.now()) { store.read(key.value) } ?: Err(StoreError.Uncertain("no answer before the deadline"))

    private fun waitEnd(
        booking: Booking,
        wait: ArrivalDecision.Wait,
    ): MonotonicTime = minOf(booking.internalDeadline(clock.now()), clock.now() + wait.atMostMillis + OUTCOME_GRACE_MILLIS)

    /** Waits until the record of [key] is no longer in state "claimed"; null if that does not happen before [until]. */
    private suspend fun awaitEnd(
        key: LedgerKey,
        until: MonotonicTime,
    ): StoredValue? {
        val backoff = Backoff(settings.waitBackoff, random)
        while (clock.now() < until) {
            val value = read(key, until).getOr(null)
            if (value != null && decodeRecord(value.value)?.state !is BookingState.Claimed) return value
            backoff.pause(until - clock.now())
        }
        return null
    }
}

private fun replay(decision: ArrivalDecision.Replay): Resolution {
    val headers = decision.headers.map { Header(it.name, it.value) }
    val answer = ServiceAnswer(decision.status, headers, decision.body.bytes)
    return Resolution.Final(Ok(BookingAnswer(answer, replayed = true)))
}

private fun notKept(decision: ArrivalDecision.AnswerNotKept): Resolution {
    val message = "the call ran and was answered with status ${decision.status}; its answer of ${decision.body.bytes} bytes is not kept"
    return refused(Refusal(RefusalCode.OUTCOME_UNKNOWN, message, Execution.RAN))
}

private fun unknown(reason: String): Resolution =
    refused(Refusal(RefusalCode.OUTCOME_UNKNOWN, "a call with this key may have run: $reason", Execution.UNKNOWN))

private fun keyReused(): Resolution {
    val message = "the idempotency key belongs to another request"
    return refused(Refusal(RefusalCode.KEY_REUSED, message, Execution.NOT_RUN, repeatable = false))
}

private fun refused(refusal: Refusal) = Resolution.Final(Err(refusal))
