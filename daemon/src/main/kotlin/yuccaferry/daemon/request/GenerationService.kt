/*
 * Runs prompts on engines: acquires a grant for an engine, follows its answer piece by piece, and when the engine
 * fails continues the answer from the next missing piece on another one, until the deadline.
 */
package yuccaferry.daemon.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.DaemonId

/** Limits of a generation; they apply to every account. */
data class GenerationLimits(
    val attempts: Int = 4,
    val firstPieceStallMillis: Long = 10_000,
    val prefillTokensPerMilli: Long = 5,
    val pieceStallMillis: Long = 5_000,
)

/** Estimates the tokens of a prompt and computes its priority and prefix hashes. */
interface PromptCostEstimator {
    /** Returns the demand of [request]. */
    fun demand(request: GenerationRequest): Demand

    /** Returns the priority of [demand] in an engine's queue; lower is more urgent. */
    fun priority(demand: Demand): Int

    /** Corrects later estimates by [promptTokens], the count that an engine reported for [request]. */
    fun observe(
        request: GenerationRequest,
        promptTokens: Long,
    )
}

/** Dependencies of a [GenerationRun]. */
internal class GenerationServices(
    val daemon: DaemonId,
    val access: TargetAccess,
    val engines: EngineClient,
    val gangs: Gangs,
    val costEstimator: PromptCostEstimator,
    val admission: Admission,
    val clock: Clock,
    val telemetry: Telemetry,
    val background: CoroutineScope,
    val limits: GenerationLimits,
)

/** Runs prompts on engines. */
class GenerationService(
    daemon: DaemonId,
    access: TargetAccess,
    engines: EngineClient,
    gangs: Gangs,
    costEstimator: PromptCostEstimator,
    admission: Admission,
    clock: Clock,
    telemetry: Telemetry,
    background: CoroutineScope,
    limits: GenerationLimits = GenerationLimits(),
) {
    private val services =
        GenerationServices(daemon, access, engines, gangs, costEstimator, admission, clock, telemetry, background, limits)

    /** Returns the answer to [request] as a flow that ends in one terminal event; cancelling it cancels the work. */
    fun generate(request: GenerationRequest): Flow<GenerationEvent> = flow { GenerationRun(services, request, this).run() }
}
