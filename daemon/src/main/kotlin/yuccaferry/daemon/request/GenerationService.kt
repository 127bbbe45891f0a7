/*
 * Runs one prompt: gets the right to use an engine, follows its answer piece by piece, and when the engine
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

/** What the run of a prompt works with. */
internal class GenerationServices(
    val daemon: DaemonId,
    val access: TargetAccess,
    val engines: EngineClient,
    val gangs: Gangs,
    val costing: PromptCosting,
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
    costing: PromptCosting,
    admission: Admission,
    clock: Clock,
    telemetry: Telemetry,
    background: CoroutineScope,
    limits: GenerationLimits = GenerationLimits(),
) {
    private val services =
        GenerationServices(daemon, access, engines, gangs, costing, admission, clock, telemetry, background, limits)

    /** Returns the answer to [request] as a flow that ends in one terminal event; cancelling it cancels the work. */
    fun generate(request: GenerationRequest): Flow<GenerationEvent> = flow { GenerationRun(services, request, this).run() }
}
