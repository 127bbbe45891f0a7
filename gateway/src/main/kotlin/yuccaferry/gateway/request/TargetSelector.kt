// Selects targets: derives the placement's inputs from the view of the fleet, and enforces the rate limit of cold targets.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.decisions.dispatch.placeCall
import yuccaferry.decisions.limits.ColdLimit
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.peers.WorkTracker
import yuccaferry.gateway.view.FleetView
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import kotlin.random.Random

/** Selects targets for requests that arrive in [zone]. */
internal class TargetSelector(
    private val fleet: FleetView,
    private val workTracker: WorkTracker,
    private val health: TargetHealth,
    private val zone: ZoneName,
    private val limits: () -> GatewayLimits,
    private val random: Random,
) {
    private val coldLimits = HashMap<TargetId, ColdLimit>()
    private val placements = HashMap<EngineFigures, StreamPlacement>()

    /** Selects the engines that prefill the prompt of [request]; returns null if no engine may receive it. */
    fun place(
        request: AdmittedRequest,
        figures: EngineFigures,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Placement? {
        val targets = candidates(request.service, tried, now)
        val prompt =
            Prompt(
                promptTokens = request.head.promptTokens,
                totalTokens = request.head.promptTokens + request.head.answerTokens,
                latencyTargetMillis = request.route.targetLatencyMillis,
                waitedMillis = now - request.arrival,
                remainingMillis = request.deadline - now,
            )
        val streamPlacement = streamPlacementFor(figures)
        val plan = streamPlacement.place(prompt, targets.map { loadOf(it, now) }, random.nextDouble()) ?: return null
        val shouldWait = tried.isEmpty() && streamPlacement.shouldWait(prompt, plan)
        val byId = targets.associateBy { it.id }
        return Placement(
            plan,
            shouldWait,
            byId.getValue(plan.main.id),
            plan.helpers.map { HelperTarget(byId.getValue(it.engine.id), it.reservedTokens) },
        )
    }

    /** Returns the placement of prompts on engines with [figures]. */
    fun streamPlacementFor(figures: EngineFigures): StreamPlacement = placements.getOrPut(figures) { StreamPlacement(EngineModel(figures)) }

    /** Selects the target of a plain call; returns null if no target may receive it. */
    fun selectForCall(
        service: ServiceDefinition,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Target? {
        val targets = candidates(service, tried, now)
        val chosen = placeCall(targets.map { loadOf(it, now) }, zone, random.nextDouble()) ?: return null
        return targets.first { it.id == chosen.id }
    }

    /** Counts a request sent to [target] at [now] against the rate limit of cold targets; drops the limit once the target is warm. */
    fun recordSend(
        target: Target,
        now: MonotonicTime,
    ) {
        if (target.coldUntil > now) coldLimits.getOrPut(target.id) { ColdLimit() }.record(now) else coldLimits -= target.id
    }

    private fun candidates(
        service: ServiceDefinition,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): List<Target> {
        val usable = fleet.usable(service.name).filter { maySend(it, service, now) }
        return usable.filter { it.id !in tried }.ifEmpty { usable }
    }

    private fun maySend(
        target: Target,
        service: ServiceDefinition,
        now: MonotonicTime,
    ): Boolean {
        if (service.coldRequestsPerSecond <= 0 || target.coldUntil <= now) return true
        val current = limits()
        val fleetPerSecond = service.coldRequestsPerSecond * current.coldBurstFactor + current.coldTolerance
        return coldLimits[target.id]?.allows(now, fleetPerSecond / fleet.daemons) ?: (fleetPerSecond >= fleet.daemons)
    }

    private fun loadOf(
        target: Target,
        now: MonotonicTime,
    ): TargetLoad {
        val totals = workTracker.totalsAt(target.id, now)
        return TargetLoad(
            id = target.id,
            zone = target.zone,
            active = totals.active,
            remainingPrefillMillis = totals.remainingPrefillMillis,
            heldTokens = totals.heldTokens,
            longRequests = totals.longRequests,
            penaltyMillis = health.penaltyMillis(target.id, target.incarnation, now),
            slots = maxOf(1, target.slots),
        )
    }
}

/**
 * The targets of a [plan].
 *
 * @property shouldWait whether a later plan is likely to serve the request sooner.
 */
internal class Placement(
    val plan: StreamPlan,
    val shouldWait: Boolean,
    val main: Target,
    val helpers: List<HelperTarget>,
)

/** A helper and the number of the prompt's tokens that its memory holds for the main target. */
internal class HelperTarget(
    val target: Target,
    val reservedTokens: Long,
)
