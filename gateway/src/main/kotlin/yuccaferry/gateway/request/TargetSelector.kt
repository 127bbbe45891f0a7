// Selects targets: derives the placement's inputs from the view of the fleet and from what is known of the work at each target.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.Availability
import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.placeCall
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.peers.TargetKnowledge
import yuccaferry.gateway.port.AnswerHead
import yuccaferry.gateway.view.FleetView
import yuccaferry.gateway.view.Target
import yuccaferry.gateway.view.UsableTargets
import yuccaferry.model.DaemonName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import kotlin.random.Random

/** Selects targets for requests that arrive at the daemon [own] in [zone]. */
internal class TargetSelector(
    private val fleet: FleetView,
    private val targets: TargetKnowledge,
    private val notices: TargetNotices,
    own: DaemonName,
    private val zone: ZoneName,
    private val limits: () -> GatewayLimits,
    private val random: Random,
) {
    private val coldSends = ColdSends(fleet, own, limits)
    private val placements = HashMap<EngineFigures, StreamPlacement>()
    private val knownTargets = KnownTargets(fleet, targets, zone, random)
    private val paced = PacedTargets(targets.paces) { target, now -> knownTargets.loadOf(target, now).active }

    /** Selects the engines that prefill the prompt of [request]; returns null if no engine may receive it. */
    fun place(
        request: AdmittedRequest,
        figures: EngineFigures,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Placement? {
        val usable = paced.within(openTargets(request.service.name, now), now)
        val streamPlacement = streamPlacementFor(figures)
        val prompt =
            Prompt(
                promptTokens = request.head.promptTokens,
                totalTokens = request.head.promptTokens + request.head.answerTokens,
                latencyTargetMillis = request.route.targetLatencyMillis,
                waitedMillis = now - request.arrival,
                remainingMillis = request.deadline - now,
                level = levelOf(request, streamPlacement, tried, now),
            )
        val search =
            PlacementSearch(knownTargets, streamPlacement, prompt, tried, now, random) { candidates(it, request.service, tried, now) }
        return search.place(usable)
    }

    /** Long prompts keep their level, because what they delay stays urgent. One that failed at a target has no time left to wait. */
    private fun levelOf(
        request: AdmittedRequest,
        streamPlacement: StreamPlacement,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Int =
        when {
            tried.isNotEmpty() -> 0
            streamPlacement.isLong(request.head.promptTokens) -> request.urgency?.level ?: 0
            else -> request.levelAt(now)
        }

    /** Returns the placement of prompts on engines with [figures]. */
    fun streamPlacementFor(figures: EngineFigures): StreamPlacement = placements.getOrPut(figures) { StreamPlacement(EngineModel(figures)) }

    /** Selects the target of a plain call; returns null if no target may receive it. */
    fun selectForCall(
        service: ServiceDefinition,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Target? {
        val allowed = candidates(paced.within(openTargets(service.name, now), now).all, service, tried, now)
        val chosen = placeCall(allowed.map { knownTargets.loadOf(it, now) }, zone, random.nextDouble()) ?: return null
        return allowed.first { it.id == chosen.id }
    }

    /** Returns whether [target] has said nothing against new work. */
    fun isOpen(target: Target): Boolean = notices.of(target) == Availability.Open

    /** Returns the milliseconds until the first target of [service] ends its pause; zero if one is open, or none pauses. */
    fun millisUntilOpen(
        service: ServiceName,
        now: MonotonicTime,
    ): Long {
        val states = fleet.usable(service).all.map { notices.of(it) }
        if (Availability.Open in states) return 0
        return states.filterIsInstance<Availability.Paused>().minOfOrNull { it.end - now } ?: 0
    }

    /**
     * Targets of [service] that want new work. While half of the targets or more pause, the others get no more than they process at once:
     * they would otherwise get the work of all.
     */
    private fun openTargets(
        service: ServiceName,
        now: MonotonicTime,
    ): UsableTargets {
        val usable = fleet.usable(service)
        if (notices.isEmpty) return usable
        val open = usable.all.filter { isOpen(it) }
        if (open.size == usable.all.size) return usable
        val paused = usable.all.count { notices.of(it) is Availability.Paused }
        if (paused * 2 < usable.all.size) return UsableTargets(open)
        return UsableTargets(open.filter { targets.work.totalsAt(it.id, now).active < it.slots })
    }

    /** Counts a request sent to [target] at [now] against the rate limit of cold targets. */
    fun recordSend(
        target: Target,
        now: MonotonicTime,
    ) = coldSends.record(target, now)

    /** Records that [target] answered an attempt with [answer]. */
    fun recordAnswer(
        target: Target,
        answer: AnswerHead,
        now: MonotonicTime,
    ) {
        recordActivity(target, now)
        val load = answer.load ?: return
        val known = targets.work.totalsAt(target.id, now).active - if (answer.hasNotRun) 1 else 0
        targets.loads.record(target.id, target.incarnation, load, known, now)
    }

    /** Records that [target] sent something. */
    fun recordActivity(
        target: Target,
        now: MonotonicTime,
    ) = targets.activity.record(target.id, target.incarnation, now)

    /** Returns whether [target] has sent anything to this daemon or a peer since [time]. */
    fun isActiveSince(
        target: Target,
        time: MonotonicTime,
    ): Boolean = targets.activity.hasSentSince(target.id, target.incarnation, time)

    private fun candidates(
        targets: List<Target>,
        service: ServiceDefinition,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): List<Target> {
        val allowed = targets.filter { coldSends.isAllowed(it, service, now) }
        return allowed.filter { it.id !in tried }.ifEmpty { allowed }
    }
}
