// Selects targets: derives the placement's inputs from the view of the fleet and from what is known of the work at each target.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.Availability
import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.decisions.dispatch.placeCall
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.peers.TargetPaces
import yuccaferry.gateway.peers.WorkTracker
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
    private val workTracker: WorkTracker,
    private val health: TargetHealth,
    private val reports: PeerReports,
    private val notices: TargetNotices,
    own: DaemonName,
    private val zone: ZoneName,
    private val limits: () -> GatewayLimits,
    private val random: Random,
    paces: TargetPaces,
) {
    private val coldSends = ColdSends(fleet, own, limits)
    private val placements = HashMap<EngineFigures, StreamPlacement>()
    private val paced = PacedTargets(paces) { target, now -> loadOf(target, now).active }

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
            )
        return place(PlacementSearch(streamPlacement, prompt, request.service, tried, now), usable)
    }

    /** Returns the placement of prompts on engines with [figures]. */
    fun streamPlacementFor(figures: EngineFigures): StreamPlacement = placements.getOrPut(figures) { StreamPlacement(EngineModel(figures)) }

    /** Selects the target of a plain call; returns null if no target may receive it. */
    fun selectForCall(
        service: ServiceDefinition,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Target? {
        val targets = candidates(paced.within(openTargets(service.name, now), now).all, service, tried, now)
        val chosen = placeCall(targets.map { loadOf(it, now) }, zone, random.nextDouble()) ?: return null
        return targets.first { it.id == chosen.id }
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
        return UsableTargets(open.filter { workTracker.totalsAt(it.id, now).active < it.slots })
    }

    /** Counts a request sent to [target] at [now] against the rate limit of cold targets. */
    fun recordSend(
        target: Target,
        now: MonotonicTime,
    ) = coldSends.record(target, now)

    /** Searches the engines whose work is known first, and all engines only if that finds no good placement. */
    private fun place(
        search: PlacementSearch,
        usable: UsableTargets,
    ): Placement? {
        val known = knownTargets(usable, failingZones(search, usable))
        if (known.isEmpty()) return null
        val pool = ShortPool.of(shortRequests(usable, search.now), known.size, maxOf(1, known.first().slots))
        val first = search.among(if (search.isLong) known else pool.sample(known, random)) { loadOf(it, search.now) }
        if (first != null && search.isGood(first.plan)) return first
        val assumedActive = assumedActive(usable, known, pool)
        return search.among(known + (usable.all - known.toSet())) { target ->
            val load = loadOf(target, search.now)
            load.copy(active = maxOf(load.active, assumedActive[target.id] ?: 0))
        }
    }

    /** Targets whose short prompts are known, all of them in a small fleet, otherwise those of one zone; without [failing] zones. */
    private fun knownTargets(
        usable: UsableTargets,
        failing: Set<ZoneName>,
    ): List<Target> {
        val zones = usable.zones - failing
        if (workTracker.isComplete) return usable.all.filter { it.zone in zones }.ifEmpty { usable.all }
        val home = if (zone in zones) zone else zones.randomOrNull(random) ?: usable.zones.randomOrNull(random)
        return home?.let { usable.inZone(it) }.orEmpty()
    }

    /**
     * Zones in which this request or several others could not be served: a zone often fails as a whole, and to try its targets one by
     * one would take longer than callers wait.
     */
    private fun failingZones(
        search: PlacementSearch,
        usable: UsableTargets,
    ): Set<ZoneName> {
        val failing =
            health
                .failing(search.now)
                .mapNotNull { usable.zoneOf(it) }
                .groupingBy { it }
                .eachCount()
        return search.tried.mapNotNullTo(HashSet()) { usable.zoneOf(it) } + failing.filterValues { it >= FAILING_TARGETS }.keys
    }

    /** Estimates the short requests at the known targets; those of a zone without usable targets go to the other zones. */
    private fun shortRequests(
        usable: UsableTargets,
        now: MonotonicTime,
    ): Double {
        val known = workTracker.shortRequests(now)
        if (workTracker.isComplete) return known
        val zones = fleet.members.mapNotNullTo(HashSet()) { it.zone }.size
        return known * maxOf(1.0, zones.toDouble() / usable.zones.size)
    }

    /** Assumes that other zones have as many short requests as the one of the [known] targets; returns them by target. */
    private fun assumedActive(
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): Map<TargetId, Int> {
        if (workTracker.isComplete) return emptyMap()
        return (usable.zones - known.first().zone)
            .map { usable.inZone(it) }
            .flatMap { it.take(pool.assumedSizeOf(it.size)) }
            .associate { it.id to pool.assumedActive }
    }

    private fun candidates(
        targets: List<Target>,
        service: ServiceDefinition,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): List<Target> {
        val allowed = targets.filter { coldSends.isAllowed(it, service, now) }
        return allowed.filter { it.id !in tried }.ifEmpty { allowed }
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
            penaltyMillis = penaltyOf(target, now),
            slots = maxOf(1, target.slots),
        )
    }

    private fun penaltyOf(
        target: Target,
        now: MonotonicTime,
    ): Double {
        val own = health.penaltyMillis(target.id, target.incarnation, now)
        return maxOf(own, reports.agreedMillis(target.id, target.incarnation, own, now))
    }

    /** The search for a placement of one [prompt]. */
    private inner class PlacementSearch(
        private val streamPlacement: StreamPlacement,
        private val prompt: Prompt,
        private val service: ServiceDefinition,
        val tried: Set<TargetId>,
        val now: MonotonicTime,
    ) {
        val isLong = streamPlacement.isLong(prompt.promptTokens)

        /** Returns the best placement on [targets], whose load is [load]; null if there is none. */
        fun among(
            targets: List<Target>,
            load: (Target) -> TargetLoad,
        ): Placement? {
            val allowed = candidates(targets, service, tried, now)
            val plan = streamPlacement.place(prompt, allowed.map(load), random.nextDouble()) ?: return null
            val byId = allowed.associateBy { it.id }
            return Placement(
                plan,
                shouldWait = tried.isEmpty() && streamPlacement.shouldWait(prompt, plan),
                isServable = streamPlacement.isServable(prompt, plan),
                main = byId.getValue(plan.main.id),
                helpers = plan.helpers.map { HelperTarget(byId.getValue(it.engine.id), it.reservedTokens) },
            )
        }

        /** Returns whether [plan] is as good as one on any other engine would be likely to be. */
        fun isGood(plan: StreamPlan): Boolean = streamPlacement.isUncontended(prompt, plan)
    }

    private companion object {
        /** Failing targets of one zone from which on the zone is avoided. */
        const val FAILING_TARGETS = 3
    }
}

/**
 * The targets of a [plan].
 *
 * @property shouldWait whether a later plan is likely to serve the request sooner.
 * @property isServable whether the first event can arrive before the request's deadline.
 */
internal class Placement(
    val plan: StreamPlan,
    val shouldWait: Boolean,
    val isServable: Boolean,
    val main: Target,
    val helpers: List<HelperTarget>,
)

/** A helper and the number of the prompt's tokens that its memory holds for the main target. */
internal class HelperTarget(
    val target: Target,
    val reservedTokens: Long,
)
