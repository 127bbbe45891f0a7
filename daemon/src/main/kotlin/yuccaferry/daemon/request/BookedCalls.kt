/*
 * Runs calls to plain services that may not be repeated: a grant first, then the ledger's claim, then one dispatch.
 * Every refusal that says "not run" has been checked against the ledger.
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

/** Wait for a grant after which the ledger is asked whether the call needs one at all. */
private const val PATIENCE_MILLIS = 300L

/** Share of the time left, and its bound, that is kept for a last look at the ledger when there is no grant. */
private const val LEDGER_SHARE = 5
private const val MOST_LEDGER_MILLIS = 1_000L

private const val REPLAYED_HEADER = "Idempotency-Replayed"

/** Runs calls that may not be repeated; [dispatch] sends one call under a grant, which it gives back. */
internal class BookedCalls(
    private val access: TargetAccess,
    private val ledger: BookingLedger,
    private val clock: Clock,
    private val dispatch: suspend (call: PlainCall, grant: Grant, idempotencyKey: String) -> Result<ServiceAnswer, TargetError>,
) {
    suspend fun call(call: PlainCall): Result<ServiceAnswer, Refusal> {
        val booking = bookingOf(call)
        val demand = Demand(request = call.id, account = call.account.name, kind = TargetKind.SERVICE, serves = call.service)
        val now = clock.now()
        val reserve = ((call.deadline - now) / LEDGER_SHARE).coerceIn(0, MOST_LEDGER_MILLIS)
        val grant =
            access.acquire(demand, emptySet(), minOf(call.deadline, now + PATIENCE_MILLIS)).getOrElse {
                ledger.known(booking)?.let { return answerOf(it) }
                access
                    .acquire(demand, emptySet(), call.deadline + (-reserve))
                    .getOrElse { return answerOf(ledger.refuse(booking, refusalOf(it))) }
            }
        return answerOf(runOn(grant, call, booking))
    }

    /** The ledger may reach the dispatch after the caller has left; whichever comes first decides the grant's use. */
    private suspend fun runOn(
        grant: Grant,
        call: PlainCall,
        booking: Booking,
    ): Result<BookingAnswer, Refusal> {
        val decided = AtomicBoolean(false)
        try {
            return ledger.run(booking.copy(dispatchBefore = minOf(grant.useBy, call.deadline))) {
                if (decided.compareAndSet(false, true)) {
                    dispatch(call, grant, booking.idempotencyKey).fold(
                        success = { DispatchOutcome.Answered(it) },
                        failure = { DispatchOutcome.Failed(it) },
                    )
                } else {
                    DispatchOutcome.Failed(TargetError.NotSent("the caller left before the dispatch"))
                }
            }
        } finally {
            if (decided.compareAndSet(false, true)) access.release(grant, UseOutcome.UNUSED)
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
