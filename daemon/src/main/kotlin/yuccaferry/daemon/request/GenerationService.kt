/*
 * Runs one prompt: gets the right to use an engine, follows its answer piece by piece, and when the engine
 * fails continues the answer from the next missing piece on another one, until the deadline.
 */
package yuccaferry.daemon.request

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import yuccaferry.daemon.port.AccessRefusal
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineCall
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.EngineEvent
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Span
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.TargetError
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.lifecycle.StreamCheck
import yuccaferry.decisions.lifecycle.StreamVerdict
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.DaemonId
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind

/** Limits of a generation that hold for every account. */
data class GenerationLimits(
    val attempts: Int = 4,
    val firstPieceStallMillis: Long = 10_000,
    val prefillTokensPerMilli: Long = 5,
    val pieceStallMillis: Long = 5_000,
)

/** How tokens, priority and prefix of a prompt are worked out. */
interface PromptCosting {
    /** The demand of [request]. */
    fun demand(request: GenerationRequest): Demand

    /** The priority of [demand] in an engine's queue; lower is more urgent. */
    fun priority(demand: Demand): Int

    /** Learns from the token count that an engine reported for a prompt. */
    fun observe(
        request: GenerationRequest,
        promptTokens: Long,
    )
}

/** Runs prompts on engines. */
class GenerationService(
    private val daemon: DaemonId,
    private val access: TargetAccess,
    private val engines: EngineClient,
    private val gangs: Gangs,
    private val costing: PromptCosting,
    private val admission: Admission,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val background: CoroutineScope,
    private val limits: GenerationLimits = GenerationLimits(),
) {
    /** Returns the answer to [request] as a flow that ends in one terminal event; cancelling it cancels the work. */
    fun generate(request: GenerationRequest): Flow<GenerationEvent> = flow { GenerationRun(request, this).run() }

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

    private inner class GenerationRun(
        private val request: GenerationRequest,
        private val caller: FlowCollector<GenerationEvent>,
    ) {
        private val check = StreamCheck(request.id)
        private val delivered = StringBuilder()
        private val failed = mutableSetOf<TargetId>()
        private val demand = costing.demand(request)
        private var accepted = false
        private var execution = Execution.NOT_RUN

        suspend fun run() {
            telemetry.span("request", request.traceparent).use { span ->
                span.set("request", request.id.value)
                val refusal = attempts(span) ?: return
                span.fail(refusal.message)
                caller.emit(GenerationEvent.Failed(refusal))
            }
        }

        /** Tries until the answer is complete; returns why it is not. */
        private suspend fun attempts(span: Span): Refusal? {
            var last: AttemptResult.Broken? = null
            for (attempt in 1..limits.attempts) {
                if (attempt > 1 && !admission.takeRetry(request.account.name)) break
                when (val result = attempt(span)) {
                    AttemptResult.Done -> {
                        return null
                    }

                    is AttemptResult.NoAccess -> {
                        return last?.let { failure(it) } ?: refusalOf(result.refusal)
                    }

                    is AttemptResult.Broken -> {
                        last = result
                        failed += result.target.id
                        recordExecution(result.error)
                        reportFailure(result, attempt)
                    }
                }
                if (clock.now() >= request.deadline) break
            }
            return failure(checkNotNull(last))
        }

        private suspend fun attempt(span: Span): AttemptResult =
            access.acquire(demand, failed, request.deadline).fold(
                success = { use(it, span) },
                failure = { if (it is AccessRefusal.TooLarge) attemptInParts(span) else AttemptResult.NoAccess(it) },
            )

        /** Spreads a prompt that no engine's memory holds over several engines; the last one generates the answer. */
        private suspend fun attemptInParts(span: Span): AttemptResult {
            val gang = gangs.reserve(request, demand, failed).getOrElse { return AttemptResult.NoAccess(it) }
            try {
                val broken = gang.prefill(costing.priority(demand))
                if (broken != null) return AttemptResult.Broken(broken.target, broken.error)
                return use(gang.last(), span, gang)
            } finally {
                gang.release()
            }
        }

        private suspend fun use(
            grant: Grant,
            parent: Span,
            gang: Gang? = null,
        ): AttemptResult {
            var outcome = UseOutcome.CANCELLED
            var ended = false
            val span = telemetry.span("engine", parent.traceparent)
            try {
                if (clock.now() >= grant.useBy) {
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
                if (ended) access.release(grant, outcome) else cancelThenRelease(grant, outcome)
            }
        }

        private suspend fun follow(
            grant: Grant,
            span: Span,
            gang: Gang?,
        ): AttemptResult {
            val events = engines.generate(grant.target, engineCall(grant, span, gang))
            val monitor = StallMonitor(clock, request.deadline, firstPieceStall(), limits.pieceStallMillis)
            var result: AttemptResult? = null
            monitor.follow(events) { event ->
                result = accept(grant.target, event)
                result == null
            }
            return result ?: AttemptResult.Broken(grant.target, monitor.error())
        }

        private fun firstPieceStall() = limits.firstPieceStallMillis + demand.promptTokens / limits.prefillTokensPerMilli

        private suspend fun accept(
            target: Target,
            event: EngineEvent,
        ): AttemptResult? =
            when (event) {
                is EngineEvent.Accepted -> {
                    accepted = true
                    null
                }

                is EngineEvent.Piece -> {
                    onVerdict(target, check.piece(event.request, event.number), event)
                }

                is EngineEvent.Finished -> {
                    onVerdict(target, check.finish(event.request, event.pieces), event)
                }

                is EngineEvent.Failed -> {
                    AttemptResult.Broken(target, event.error)
                }
            }

        private suspend fun onVerdict(
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
            costing.observe(request, event.usage.promptTokens)
            caller.emit(GenerationEvent.Finished(event.reason, event.usage))
        }

        private fun engineCall(
            grant: Grant,
            span: Span,
            gang: Gang?,
        ) = EngineCall(
            request = request.id,
            owner = daemon,
            epoch = grant.epoch,
            model = request.model,
            prompt = request.prompt,
            maxTokens = request.maxTokens,
            priority = costing.priority(demand),
            timeLeftMillis = request.deadline - clock.now(),
            firstPiece = check.nextPiece,
            deliveredText = delivered.toString(),
            gang = gang?.id,
            gangTokens = gang?.prefilledTokens ?: 0,
            traceparent = span.traceparent,
        )

        /** The engine may still hold the request; it is cancelled before its place is given to other work. */
        private fun cancelThenRelease(
            grant: Grant,
            outcome: UseOutcome,
        ) {
            background.launch {
                withContext(NonCancellable) {
                    engines.cancel(grant.target, request.id)
                    access.release(grant, outcome)
                }
            }
        }

        /** Keeps the worst case over all attempts: one that may have run is not undone by a later one that did not. */
        private fun recordExecution(error: TargetError) {
            val attempt =
                when {
                    accepted -> Execution.RAN
                    error is TargetError.NotSent || error is TargetError.Rejected -> Execution.NOT_RUN
                    else -> Execution.UNKNOWN
                }
            execution = maxOf(execution, attempt, compareBy { certaintyOfEffect(it) })
            accepted = false
        }

        private fun reportFailure(
            result: AttemptResult.Broken,
            attempt: Int,
        ) {
            telemetry.count("yuccaferry.attempt.failures", labels = arrayOf(Field("kind", result.error::class.simpleName)))
            telemetry.event(
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
            val late = clock.now() >= request.deadline
            val code = if (late) RefusalCode.DEADLINE_EXCEEDED else RefusalCode.TARGET_FAILED
            val message = "${result.error.message}; ${check.nextPiece} pieces were delivered"
            return Refusal(code, message, execution, repeatable = true)
        }
    }
}

private fun certaintyOfEffect(execution: Execution): Int =
    when (execution) {
        Execution.NOT_RUN -> 0
        Execution.UNKNOWN -> 1
        Execution.RAN -> 2
    }

/** The refusal that a caller sees when no target was granted. */
internal fun refusalOf(refusal: AccessRefusal): Refusal =
    when (refusal) {
        AccessRefusal.NoTarget -> {
            Refusal(RefusalCode.NO_CAPACITY, "no target in service serves this account and model", Execution.NOT_RUN, retryAfterSeconds = 5)
        }

        AccessRefusal.Full -> {
            Refusal(RefusalCode.NO_CAPACITY, "no target had room before the deadline", Execution.NOT_RUN, retryAfterSeconds = 1)
        }

        is AccessRefusal.TooLarge -> {
            Refusal(
                RefusalCode.NO_CAPACITY,
                "the prompt and its answer need more memory than any target has (${refusal.kvTokens} tokens)",
                Execution.NOT_RUN,
                repeatable = false,
            )
        }

        is AccessRefusal.NotConfirmed -> {
            Refusal(RefusalCode.NOT_READY, refusal.reason, Execution.NOT_RUN, retryAfterSeconds = 1)
        }
    }
