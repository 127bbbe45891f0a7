/*
 * Runs one prompt: each attempt acquires a grant for an engine and follows its answer. A broken answer is continued
 * from the next missing piece. The run records for every attempt whether it may have run at its engine.
 */
package yuccaferry.daemon.request

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import yuccaferry.daemon.outcome.CallProgress
import yuccaferry.daemon.outcome.executionOf
import yuccaferry.daemon.outcome.joinExecutions
import yuccaferry.daemon.port.AccessRefusal
import yuccaferry.daemon.port.EngineCall
import yuccaferry.daemon.port.EngineEvent
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Span
import yuccaferry.daemon.port.TargetError
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.lifecycle.StreamCheck
import yuccaferry.decisions.lifecycle.StreamVerdict
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import yuccaferry.model.Target
import yuccaferry.model.TargetId

private sealed interface AttemptResult {
    data object Done : AttemptResult

    data class Broken(
        val target: Target,
        val error: TargetError,
    ) : AttemptResult

    data class NoAccess(
        val refusal: AccessRefusal,
    ) : AttemptResult
}

/** Runs [request] and emits its events to [caller]. */
internal class GenerationRun(
    private val services: GenerationServices,
    private val request: GenerationRequest,
    private val caller: FlowCollector<GenerationEvent>,
) {
    private val check = StreamCheck(request.id)
    private val delivered = StringBuilder()
    private val failed = mutableSetOf<TargetId>()
    private val demand = services.costEstimator.demand(request)
    private var progress = CallProgress.NOT_DISPATCHED
    private val executions = mutableListOf<Execution>()

    suspend fun run() {
        services.telemetry.span("request", request.traceparent).use { span ->
            span.set("request", request.id.value)
            val refusal = runAttempts(span) ?: return
            span.fail(refusal.message)
            reportRefusal(refusal)
            caller.emit(GenerationEvent.Failed(refusal))
        }
    }

    /** Makes attempts until the answer is complete; returns null then, and otherwise the refusal. */
    private suspend fun runAttempts(span: Span): Refusal? {
        var last: AttemptResult.Broken? = null
        for (attempt in 1..services.limits.attempts) {
            if (attempt > 1 && !services.admission.takeRetry(request.account.name)) break
            when (val result = runAttempt(span)) {
                AttemptResult.Done -> {
                    return null
                }

                is AttemptResult.NoAccess -> {
                    return last?.let { failure(it) } ?: refusalOf(result.refusal)
                }

                is AttemptResult.Broken -> {
                    last = result
                    failed += result.target.id
                    executions += executionOf(progress, result.error)
                    progress = CallProgress.NOT_DISPATCHED
                    reportFailure(result, attempt)
                }
            }
            if (services.clock.now() >= request.deadline) break
        }
        return failure(checkNotNull(last))
    }

    private suspend fun runAttempt(span: Span): AttemptResult =
        services.access.acquire(demand, failed, request.deadline).fold(
            success = { generateOn(it, span) },
            failure = { if (it is AccessRefusal.TooLarge) runGangAttempt(span) else AttemptResult.NoAccess(it) },
        )

    /** Splits a prompt that is larger than any engine's memory over several engines; the last one generates the answer. */
    private suspend fun runGangAttempt(span: Span): AttemptResult {
        val gang = services.gangs.reserve(request, demand, failed).getOrElse { return AttemptResult.NoAccess(it) }
        try {
            val broken = gang.prefill(services.costEstimator.priority(demand))
            if (broken != null) return AttemptResult.Broken(broken.target, broken.error)
            return generateOn(gang.takeAnsweringGrant(), span, gang)
        } finally {
            gang.release()
        }
    }

    private suspend fun generateOn(
        grant: Grant,
        parent: Span,
        gang: Gang? = null,
    ): AttemptResult {
        var outcome = UseOutcome.CANCELLED
        var ended = false
        val span = services.telemetry.span("engine", parent.traceparent)
        try {
            if (services.clock.now() >= grant.useBy) {
                outcome = UseOutcome.UNUSED
                ended = true
                return AttemptResult.Broken(grant.target, TargetError.NotSent("the grant expired before it was used"))
            }
            val result = follow(grant, span, gang)
            ended = result is AttemptResult.Done
            outcome = if (ended) UseOutcome.SUCCEEDED else UseOutcome.TARGET_FAILED
            return result
        } finally {
            span.close()
            if (ended) services.access.release(grant, outcome) else cancelThenRelease(grant, outcome)
        }
    }

    private suspend fun follow(
        grant: Grant,
        span: Span,
        gang: Gang?,
    ): AttemptResult {
        progress = CallProgress.DISPATCHED
        val events = services.engines.generate(grant.target, engineCall(grant, span, gang))
        val monitor = StallMonitor(services.clock, request.deadline, firstPieceTimeoutMillis(), services.limits.pieceStallMillis)
        var result: AttemptResult? = null
        monitor.follow(events) { event ->
            result = handleEvent(grant.target, event)
            result == null
        }
        return result ?: AttemptResult.Broken(grant.target, monitor.error())
    }

    private fun firstPieceTimeoutMillis() =
        services.limits.firstPieceStallMillis + demand.promptTokens / services.limits.prefillTokensPerMilli

    private suspend fun handleEvent(
        target: Target,
        event: EngineEvent,
    ): AttemptResult? =
        when (event) {
            is EngineEvent.Accepted -> {
                progress = CallProgress.ANSWERING
                null
            }

            is EngineEvent.Piece -> {
                handleVerdict(target, check.piece(event.request, event.number), event)
            }

            is EngineEvent.Finished -> {
                handleVerdict(target, check.finish(event.request, event.pieces), event)
            }

            is EngineEvent.Failed -> {
                AttemptResult.Broken(target, event.error)
            }
        }

    private suspend fun handleVerdict(
        target: Target,
        verdict: StreamVerdict,
        event: EngineEvent,
    ): AttemptResult? {
        when (verdict) {
            StreamVerdict.Skip -> {
                return null
            }

            is StreamVerdict.Fault -> {
                return AttemptResult.Broken(target, TargetError.Broken(verdict.reason))
            }

            StreamVerdict.Deliver -> {
                deliver((event as EngineEvent.Piece).text)
            }

            StreamVerdict.Complete -> {
                finish(event as EngineEvent.Finished)
                return AttemptResult.Done
            }
        }
        return null
    }

    private suspend fun deliver(text: String) {
        delivered.append(text)
        caller.emit(GenerationEvent.Text(text))
    }

    private suspend fun finish(event: EngineEvent.Finished) {
        services.costEstimator.observe(request, event.usage.promptTokens)
        caller.emit(GenerationEvent.Finished(event.reason, event.usage))
    }

    private fun engineCall(
        grant: Grant,
        span: Span,
        gang: Gang?,
    ) = EngineCall(
        request = request.id,
        owner = services.daemon,
        epoch = grant.epoch,
        model = request.model,
        prompt = request.prompt,
        maxTokens = request.maxTokens,
        priority = services.costEstimator.priority(demand),
        timeLeftMillis = request.deadline - services.clock.now(),
        firstPiece = check.nextPiece,
        deliveredText = delivered.toString(),
        gang = gang?.id,
        gangTokens = gang?.prefilledTokens ?: 0,
        traceparent = span.traceparent,
    )

    /** Cancels the request, which the engine may still hold, before its capacity is granted to other work. */
    private fun cancelThenRelease(
        grant: Grant,
        outcome: UseOutcome,
    ) {
        services.background.launch {
            withContext(NonCancellable) {
                services.engines.cancel(grant.target, request.id)
                services.access.release(grant, outcome)
            }
        }
    }

    private fun reportRefusal(refusal: Refusal) =
        services.telemetry.event(
            "request_failed",
            Field("request", request.id),
            Field("account", request.account.name),
            Field("model", request.model),
            Field("code", refusal.code),
            Field("execution", refusal.execution),
            Field("message", refusal.message),
            severity = Severity.WARN,
        )

    private fun reportFailure(
        result: AttemptResult.Broken,
        attempt: Int,
    ) {
        services.telemetry.count("yuccaferry.attempt.failures", labels = arrayOf(Field("kind", result.error::class.simpleName)))
        services.telemetry.event(
            "attempt_failed",
            Field("request", request.id),
            Field("target", result.target.id),
            Field("attempt", attempt),
            Field("pieces", check.nextPiece),
            Field("error", result.error.message),
            severity = Severity.WARN,
        )
    }

    private fun failure(result: AttemptResult.Broken): Refusal {
        val deadlinePassed = services.clock.now() >= request.deadline
        val code = if (deadlinePassed) RefusalCode.DEADLINE_EXCEEDED else RefusalCode.TARGET_FAILED
        val message = "${result.error.message}; ${check.nextPiece} pieces were delivered"
        return Refusal(code, message, joinExecutions(executions), repeatable = true)
    }
}
