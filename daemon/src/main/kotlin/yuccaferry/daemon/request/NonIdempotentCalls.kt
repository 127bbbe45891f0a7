/*
 * Runs non-idempotent calls to plain services: acquires a grant, claims the idempotency key in the ledger, then
 * dispatches once. Every refusal that says "not run" has been checked against the ledger.
 */
package yuccaferry.daemon.request

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import yuccaferry.daemon.ledger.Booking
import yuccaferry.daemon.ledger.BookingAnswer
import yuccaferry.daemon.ledger.BookingLedger
import yuccaferry.daemon.ledger.DispatchOutcome
import yuccaferry.daemon.ledger.KeyOrigin
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.TargetError
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.ledger.Fingerprint
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.Refusal
import yuccaferry.model.TargetKind
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean

/** Longest wait for a grant before the ledger is checked for an outcome that makes the grant unnecessary. */
private const val FIRST_WAIT_MILLIS = 300L

/** Divisor of the time left; the quotient is reserved for a final ledger check when there is no grant. */
private const val LEDGER_RESERVE_DIVISOR = 5

/** Upper bound of the time reserved for the final ledger check. */
private const val MAX_LEDGER_RESERVE_MILLIS = 1_000L

private const val REPLAYED_HEADER = "Idempotency-Replayed"

/** Runs non-idempotent calls; [dispatch] sends one call under a grant and releases the grant. */
internal class NonIdempotentCalls(
    private val access: TargetAccess,
    private val ledger: BookingLedger,
    private val clock: Clock,
    private val dispatch: suspend (call: PlainCall, grant: Grant, idempotencyKey: String) -> Result<ServiceAnswer, TargetError>,
) {
    suspend fun call(call: PlainCall): Result<ServiceAnswer, Refusal> {
        val booking = bookingOf(call)
        val demand = Demand(request = call.id, account = call.account.name, kind = TargetKind.SERVICE, serves = call.service)
        val now = clock.now()
        val ledgerReserve = ((call.deadline - now) / LEDGER_RESERVE_DIVISOR).coerceIn(0, MAX_LEDGER_RESERVE_MILLIS)
        val grant =
            access.acquire(demand, emptySet(), minOf(call.deadline, now + FIRST_WAIT_MILLIS)).getOrElse {
                ledger.findAnswer(booking)?.let { return answerOf(it) }
                access
                    .acquire(demand, emptySet(), call.deadline + (-ledgerReserve))
                    .getOrElse { return answerOf(ledger.refuse(booking, refusalOf(it))) }
            }
        return answerOf(runOn(grant, call, booking))
    }

    /**
     * Runs [call] under [grant]. The ledger may reach the dispatch after the caller's coroutine was cancelled: the first
     * of the two uses or releases the grant.
     */
    private suspend fun runOn(
        grant: Grant,
        call: PlainCall,
        booking: Booking,
    ): Result<BookingAnswer, Refusal> {
        val grantTaken = AtomicBoolean(false)
        try {
            return ledger.run(booking.copy(dispatchBefore = minOf(grant.useBy, call.deadline))) {
                if (grantTaken.compareAndSet(false, true)) {
                    dispatch(call, grant, booking.idempotencyKey).fold(
                        success = { DispatchOutcome.Answered(it) },
                        failure = { DispatchOutcome.Failed(it) },
                    )
                } else {
                    DispatchOutcome.Failed(TargetError.NotSent("the request was cancelled before the call was sent"))
                }
            }
        } finally {
            if (grantTaken.compareAndSet(false, true)) access.release(grant, UseOutcome.UNUSED)
        }
    }

    private fun bookingOf(call: PlainCall) =
        Booking(
            account = call.account.name,
            service = call.service,
            idempotencyKey = call.idempotencyKey ?: UUID.randomUUID().toString(),
            keyOrigin = if (call.idempotencyKey == null) KeyOrigin.DAEMON else KeyOrigin.CALLER,
            fingerprint = Fingerprint.of(call.method, call.path, call.body),
            dispatchBefore = call.deadline,
            deadline = call.deadline,
        )

    private fun answerOf(result: Result<BookingAnswer, Refusal>): Result<ServiceAnswer, Refusal> =
        result.map { booked ->
            val answer = booked.answer
            if (!booked.replayed) return@map answer
            ServiceAnswer(answer.status, answer.headers + Header(REPLAYED_HEADER, "true"), answer.body)
        }
}
