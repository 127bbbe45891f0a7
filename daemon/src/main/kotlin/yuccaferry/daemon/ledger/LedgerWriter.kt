/*
 * Writes of one daemon to the ledger. Each write is a compare-and-swap that carries its own attempt id,
 * so that a repeat after a lost answer either writes it once or finds it already written.
 */
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.ledger.BookingRecord
import yuccaferry.decisions.ledger.ClaimConflict
import yuccaferry.decisions.ledger.EndConflict
import yuccaferry.decisions.ledger.LedgerKey
import yuccaferry.decisions.ledger.claimConflict
import yuccaferry.decisions.ledger.endConflict
import yuccaferry.model.MonotonicTime
import kotlin.random.Random

/** Counter of writes sent to the key-value service, labelled by `step`. */
const val LEDGER_WRITES_METRIC = "yuccaferry.ledger.writes"

/** Counter of writes whose answer was lost or that the service refused, labelled by `step`. */
const val LEDGER_WRITE_FAILURES_METRIC = "yuccaferry.ledger.write.failures"

/** Result of writing a claim. */
internal sealed interface ClaimResult {
    /** This daemon holds the claim, at [revision]. */
    data class Held(
        val revision: Long,
    ) : ClaimResult

    /** The key has another record, which [value] holds. */
    data class Taken(
        val value: StoredValue,
    ) : ClaimResult

    /** The claim was not written and can't be written any more. */
    data object NotWritten : ClaimResult

    /** The claim may have been written or may still be; its record must be ended as not run. */
    data object InDoubt : ClaimResult
}

/** Writes claims and the records that end them, and retries writes that fail. */
internal class LedgerWriter(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val settings: LedgerSettings,
    private val random: Random,
) {
    private val leases = RetentionLeases(store, clock, settings) { countWrite("lease") }

    /** Writes the claim [record] over [expectedRevision]; retries until [until]. */
    suspend fun claim(
        key: LedgerKey,
        expectedRevision: Long,
        record: BookingRecord,
        until: MonotonicTime,
    ): ClaimResult {
        val backoff = Backoff(settings.claimBackoff, random)
        val value = encodeRecord(record)
        var inDoubt = false
        while (clock.now() < until) {
            swapUntil(until, key, expectedRevision, value)
                .onSuccess { return claimResult(it, record) }
                .onFailure { inDoubt = inDoubt || it is StoreError.Uncertain }
            backoff.pause(until - clock.now())
        }
        return if (inDoubt) ClaimResult.InDoubt else ClaimResult.NotWritten
    }

    /** Writes [end] over [expectedRevision]; retries until it is written or the record no longer belongs to this writer. */
    suspend fun end(
        key: LedgerKey,
        expectedRevision: Long,
        end: BookingRecord,
    ) {
        val backoff = Backoff(settings.outcomeBackoff, random)
        val value = encodeRecord(end)
        var expected = expectedRevision
        while (true) {
            swap("outcome", key, expected, value)
                .onSuccess { expected = nextExpected(key, it, end) ?: return }
                .onFailure { backoff.pause() }
        }
    }

    private fun claimResult(
        outcome: SwapOutcome,
        record: BookingRecord,
    ): ClaimResult =
        when (outcome) {
            is SwapOutcome.Written -> ClaimResult.Held(outcome.revision)
            is SwapOutcome.Conflict -> outcome.current?.let { conflictResult(it, record) } ?: ClaimResult.NotWritten
        }

    private fun conflictResult(
        current: StoredValue,
        record: BookingRecord,
    ): ClaimResult {
        val found = decodeRecord(current.value)
        val own = found != null && claimConflict(found, record.claim) == ClaimConflict.OwnClaim
        return if (own) ClaimResult.Held(current.revision) else ClaimResult.Taken(current)
    }

    /** Returns the revision over which to write [end] next, or null when there is nothing left to write. */
    private fun nextExpected(
        key: LedgerKey,
        outcome: SwapOutcome,
        end: BookingRecord,
    ): Long? {
        val current = (outcome as? SwapOutcome.Conflict)?.current
        if (outcome is SwapOutcome.Written) return null
        return when (endConflict(current?.let { decodeRecord(it.value) }, end)) {
            EndConflict.Done -> {
                null
            }

            EndConflict.OverwriteClaim -> {
                current?.revision
            }

            EndConflict.Superseded -> {
                telemetry.event("ledger_outcome_superseded", Field("key", key), severity = Severity.WARN)
                null
            }
        }
    }

    private suspend fun swapUntil(
        until: MonotonicTime,
        key: LedgerKey,
        expectedRevision: Long,
        value: String,
    ): Result<SwapOutcome, StoreError> =
        withTimeoutOrNull(until - clock.now()) { swap("claim", key, expectedRevision, value) }
            ?: Err(StoreError.Uncertain("no answer before the dispatch window ended"))

    private suspend fun swap(
        step: String,
        key: LedgerKey,
        expectedRevision: Long,
        value: String,
    ): Result<SwapOutcome, StoreError> =
        leases
            .current()
            .mapError { StoreError.NotApplied("no retention lease: ${it.message}") }
            .andThen { lease ->
                countWrite(step)
                store
                    .compareAndSwap(key.value, expectedRevision, value, lease)
                    .onFailure { if (it is StoreError.NotApplied) leases.onWriteRefused(lease) }
            }.onFailure { telemetry.count(LEDGER_WRITE_FAILURES_METRIC, 1.0, Field("step", step)) }

    private fun countWrite(step: String) = telemetry.count(LEDGER_WRITES_METRIC, 1.0, Field("step", step))
}
