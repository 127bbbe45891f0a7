/*
 * Runs calls that must not run twice. A booking is claimed at the key-value service immediately before its
 * dispatch; only the daemon whose claim was written may dispatch it, once, and only while the monotonic clock is
 * before the end of the claim's window. The outcome is written after the caller is answered; during an outage of
 * the key-value service it stays in this daemon's memory until it is written. See docs/design/bookings.md.
 */
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOr
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.outcome.CallProgress
import yuccaferry.daemon.outcome.refusalOf
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.TargetError
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.ledger.AnswerHeader
import yuccaferry.decisions.ledger.BookingRecord
import yuccaferry.decisions.ledger.BookingState
import yuccaferry.decisions.ledger.Claim
import yuccaferry.decisions.ledger.LedgerKey
import yuccaferry.decisions.ledger.ended
import yuccaferry.decisions.ledger.mayDispatch
import yuccaferry.decisions.ledger.storedAnswer
import yuccaferry.model.AttemptId
import yuccaferry.model.DaemonId
import yuccaferry.model.Execution
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.random.asKotlinRandom

/** Gauge of bookings that are claimed, running or waiting for their outcome to be written. */
const val LEDGER_PENDING_METRIC = "yuccaferry.ledger.pending"

private const val RETRY_AFTER_SECONDS = 2

/**
 * The ledger of one daemon.
 *
 * @param scope scope in which claimed bookings run to their end, also when the caller has disconnected.
 * @param random source of attempt ids and jitter; no two daemons may generate the same id.
 */
class BookingLedger(
    private val daemon: DaemonId,
    store: KeyValueStore,
    private val clock: Clock,
    telemetry: Telemetry,
    private val scope: CoroutineScope,
    private val settings: LedgerSettings = LedgerSettings(),
    private val random: Random = SecureRandom().asKotlinRandom(),
) {
    private val writer = LedgerWriter(store, clock, telemetry, settings, random)
    private val resolver = ArrivalResolver(store, clock, settings, random)
    private val pending = MutableStateFlow(0)

    init {
        telemetry.gauge(LEDGER_PENDING_METRIC) { pending.value.toDouble() }
    }

    /**
     * Runs [booking] at most once, ever, and returns before its deadline. [dispatch] is called at most once;
     * it is not cancelled when the caller disconnects, so it must enforce the deadline itself.
     */
    suspend fun run(
        booking: Booking,
        dispatch: suspend () -> DispatchOutcome,
    ): Result<BookingAnswer, Refusal> {
        val key = keyOf(booking)
        var expectedRevision = 0L
        while (true) {
            val tried = claimAndDispatch(BookingRun(booking, key, expectedRevision, dispatch))
            if (tried is RunResult.Ended) return tried.result
            when (val resolution = resolver.resolve(booking, key, (tried as RunResult.Taken).value)) {
                is Resolution.Final -> return resolution.result
                is Resolution.Claimable -> expectedRevision = resolution.revision
            }
        }
    }

    /**
     * Answers [booking] when this daemon can't run it for the reason in [refusal]. An earlier request with the
     * caller's key may have run, so the ledger is read first: the refusal may say "not run" only if no record contradicts it.
     */
    suspend fun refuse(
        booking: Booking,
        refusal: Refusal,
    ): Result<BookingAnswer, Refusal> {
        if (booking.keyOrigin == KeyOrigin.DAEMON) return Err(refusal)
        return lookUp(booking)
            .mapError { refusal.copy(message = "${refusal.message}; the ledger can't be read", execution = Execution.UNKNOWN) }
            .andThen { it?.result ?: Err(refusal) }
    }

    /** Returns the answer to [booking] if an earlier request with its key determines it; null if it may have to run. */
    suspend fun findAnswer(booking: Booking): Result<BookingAnswer, Refusal>? {
        if (booking.keyOrigin == KeyOrigin.DAEMON) return null
        return lookUp(booking).getOr(null)?.result
    }

    private suspend fun lookUp(booking: Booking): Result<Resolution.Final?, StoreError> {
        val key = keyOf(booking)
        return resolver.read(key, booking.deadline).map { found ->
            found?.let { resolver.resolve(booking, key, it) } as? Resolution.Final
        }
    }

    /** Waits until no booking is claimed, running or waiting for its outcome to be written. */
    suspend fun drain() {
        pending.first { it == 0 }
    }

    private suspend fun claimAndDispatch(run: BookingRun): RunResult {
        if (pending.getAndUpdate { if (it < settings.maxPending) it + 1 else it } >= settings.maxPending) {
            return RunResult.Ended(
                Err(unavailable("the daemon has reached its limit of unfinished bookings", run.booking)),
            )
        }
        val answer = CompletableDeferred<RunResult>()
        scope
            .launch { claimThenRun(run, answer) }
            .invokeOnCompletion { cause ->
                pending.update { it - 1 }
                if (cause != null) answer.completeExceptionally(cause)
            }
        return withTimeoutOrNull(run.booking.deadline - clock.now()) { answer.await() }
            ?: RunResult.Ended(Err(Refusal(RefusalCode.DEADLINE_EXCEEDED, "no outcome before the deadline", Execution.UNKNOWN)))
    }

    private suspend fun claimThenRun(
        run: BookingRun,
        answer: CompletableDeferred<RunResult>,
    ) {
        val start = clock.now()
        val dispatchBefore = minOf(start + settings.dispatchWindowMillis, run.booking.dispatchBefore, run.booking.internalDeadline(start))
        val record = BookingRecord.claimed(run.booking.fingerprint, claim(run.booking, start, dispatchBefore))
        when (val claim = writer.claim(run.key, run.expectedRevision, record, dispatchBefore)) {
            is ClaimResult.Taken -> {
                answer.complete(RunResult.Taken(claim.value))
            }

            ClaimResult.NotWritten -> {
                answer.complete(RunResult.Ended(Err(unavailable("the booking could not be claimed", run.booking))))
            }

            ClaimResult.InDoubt -> {
                answer.complete(RunResult.Ended(Err(unavailable("the booking could not be claimed", run.booking))))
                writer.end(run.key, run.expectedRevision, record.ended(newAttempt(), BookingState.NotRun))
            }

            is ClaimResult.Held -> {
                val state = dispatchInTime(run, dispatchBefore, answer)
                writer.end(run.key, claim.revision, record.ended(newAttempt(), state))
            }
        }
    }

    /** Dispatches unless the window has passed, answers the caller and returns the state to record. */
    private suspend fun dispatchInTime(
        run: BookingRun,
        dispatchBefore: MonotonicTime,
        answer: CompletableDeferred<RunResult>,
    ): BookingState {
        if (!mayDispatch(clock.now(), dispatchBefore)) {
            val refusal =
                Refusal(RefusalCode.DEADLINE_EXCEEDED, "the dispatch window ended before the claim was confirmed", Execution.NOT_RUN)
            answer.complete(RunResult.Ended(Err(refusal)))
            return BookingState.NotRun
        }
        return when (val outcome = dispatchOnce(run.dispatch)) {
            is DispatchOutcome.Answered -> {
                answer.complete(RunResult.Ended(Ok(BookingAnswer(outcome.answer, replayed = false))))
                val headers = outcome.answer.headers.map { AnswerHeader(it.name, it.value) }
                val stored = storedAnswer(outcome.answer.status, headers, outcome.answer.body, settings.maxStoredAnswerBytes)
                BookingState.Answered(stored)
            }

            is DispatchOutcome.Failed -> {
                val refusal = refusalOf(CallProgress.DISPATCHED, outcome.error)
                answer.complete(RunResult.Ended(Err(refusal)))
                if (refusal.execution == Execution.NOT_RUN) BookingState.NotRun else BookingState.Unknown(refusal.message)
            }
        }
    }

    private suspend fun dispatchOnce(dispatch: suspend () -> DispatchOutcome): DispatchOutcome =
        try {
            dispatch()
        } catch (e: CancellationException) {
            // A timeout inside the dispatch fails only the dispatch; cancellation of this daemon's scope is rethrown.
            currentCoroutineContext().ensureActive()
            DispatchOutcome.Failed(TargetError.TimedOut("the dispatch was cancelled: $e"))
        } catch (e: Throwable) {
            // The call may have run, also when an Error ended the dispatch, so that has to be recorded.
            DispatchOutcome.Failed(TargetError.Broken("the dispatch failed: $e"))
        }

    private fun claim(
        booking: Booking,
        start: MonotonicTime,
        dispatchBefore: MonotonicTime,
    ) = Claim(
        attempt = newAttempt(),
        claimant = daemon,
        dispatchWindowMillis = dispatchBefore - start,
        lifeMillis = booking.deadline - start,
    )

    private fun newAttempt() = AttemptId("%016x%016x".format(random.nextLong(), random.nextLong()))

    private fun keyOf(booking: Booking) = LedgerKey.of(booking.account, booking.service, booking.idempotencyKey)
}

/** One try to claim and run a booking. */
private class BookingRun(
    val booking: Booking,
    val key: LedgerKey,
    val expectedRevision: Long,
    val dispatch: suspend () -> DispatchOutcome,
)

/** Result of one try to claim and run a booking. */
private sealed interface RunResult {
    /** The try determined the answer. */
    data class Ended(
        val result: Result<BookingAnswer, Refusal>,
    ) : RunResult

    /** The key has another record, which [value] holds. */
    data class Taken(
        val value: StoredValue,
    ) : RunResult
}

/** Returns the refusal of a call that was not and will not be dispatched; an earlier call with a caller's key may have run. */
private fun unavailable(
    reason: String,
    booking: Booking,
) = Refusal(
    code = RefusalCode.LEDGER_UNAVAILABLE,
    message = reason,
    execution = if (booking.keyOrigin == KeyOrigin.DAEMON) Execution.NOT_RUN else Execution.UNKNOWN,
    repeatable = true,
    retryAfterSeconds = RETRY_AFTER_SECONDS,
)
