// Selects targets: derives the placement's inputs from the view of the fleet and from what is known of the work at each target.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.Availability
import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.RankReserve
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.dispatch.TargetLoad
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
import kotlin.math.roundToInt
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
    private val paced = PacedTargets(targets.paces) { target, now -> loadOf(target, now).active }

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
        return place(PlacementSearch(streamPlacement, prompt, request.service, tried, now), usable)
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
        val chosen = placeCall(allowed.map { loadOf(it, now) }, zone, random.nextDouble()) ?: return null
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

    /** Searches the engines whose work is known first, and all engines only if that finds no good placement. */
    private fun place(
        search: PlacementSearch,
        usable: UsableTargets,
    ): Placement? {
        val known = knownTargets(usable, failingZones(search, usable))
        if (known.isEmpty()) return null
        val pool = ShortPool.of(shortRequests(usable, search.now), known.size, maxOf(1, known.first().slots))
        return if (search.isLong) placeLong(search, usable, known, pool) else placeShort(search, usable, known, pool)
    }

    /** Compares a few engines of the pool, and if none of them is good others too. */
    private fun placeShort(
        search: PlacementSearch,
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): Placement? {
        val sampled = pool.sample(known, random)
        val first = search.among(sampled) { loadOf(it, search.now) }
        if (first != null && search.isGood(first.plan)) return first
        val others = (sampled + pool.widen(known, random) + foreignSample(usable, known)).distinct()
        return search.among(others, assumedLoad(search, usable, known, pool))
    }

    /** Compares the engines of the zone that the level of [search] leaves to it, and if none of them is good those of all zones. */
    private fun placeLong(
        search: PlacementSearch,
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): Placement? {
        val first = search.among(RankReserve.enginesForLong(known, pool.size, search.level)) { loadOf(it, search.now) }
        if (first != null && search.isGood(first.plan)) return first
        val load = assumedLoad(search, usable, known, pool)
        val all = known + (usable.all - known.toSet())
        if (search.level <= 0) return search.among(all, load)
        val left = leftToLevel(search, usable, known, pool)
        return search.among(left, load)?.takeIf { it.isServable } ?: search.beyondReserve(all, left.size, load)
    }

    /** Returns the load of targets, with the short requests that are assumed in other zones. */
    private fun assumedLoad(
        search: PlacementSearch,
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): (Target) -> TargetLoad {
        val assumedActive = assumedActive(usable, known, pool)
        return { target ->
            val load = loadOf(target, search.now)
            load.copy(active = maxOf(load.active, assumedActive[target.id] ?: 0))
        }
    }

    /** Returns the engines that the level of [search] leaves to a long prompt, the [known] ones first. */
    private fun leftToLevel(
        search: PlacementSearch,
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): List<Target> {
        val others = usable.zones - known.mapTo(HashSet()) { it.zone }
        return RankReserve.enginesForLong(known, pool.size, search.level) +
            others.map { usable.inZone(it) }.flatMap { RankReserve.enginesForLong(it, pool.assumedSizeOf(it.size), search.level) }
    }

    /**
     * A few random targets of each zone that the [known] ones don't belong to. Daemons with the same assumptions about other zones would
     * otherwise all choose the same target there.
     */
    private fun foreignSample(
        usable: UsableTargets,
        known: List<Target>,
    ): List<Target> {
        if (targets.work.isComplete) return (usable.all - known.toSet()).shuffled(random)
        return (usable.zones - known.first().zone).flatMap { zone ->
            val engines = usable.inZone(zone)
            List(ShortPool.SAMPLED_ENGINES) { engines.random(random) }.distinct()
        }
    }

    /** Targets whose short prompts are known, all of them in a small fleet, otherwise those of one zone; without [failing] zones. */
    private fun knownTargets(
        usable: UsableTargets,
        failing: Set<ZoneName>,
    ): List<Target> {
        val zones = usable.zones - failing
        if (targets.work.isComplete) return usable.all.filter { it.zone in zones }.ifEmpty { usable.all }
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
            targets.health
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
        val known = targets.work.shortRequests(now)
        if (targets.work.isComplete) return known
        val zones = fleet.members.mapNotNullTo(HashSet()) { it.zone }.size
        return known * maxOf(1.0, zones.toDouble() / usable.zones.size)
    }

    /** Assumes that other zones have as many short requests as the one of the [known] targets; returns them by target. */
    private fun assumedActive(
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): Map<TargetId, Int> {
        if (targets.work.isComplete) return emptyMap()
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
        val totals = targets.work.totalsAt(target.id, now)
        return TargetLoad(
            id = target.id,
            zone = target.zone,
            active = totals.active + targets.loads.unaccounted(target.id, target.incarnation, now).roundToInt(),
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
        val own = targets.health.penaltyMillis(target.id, target.incarnation, now)
        return maxOf(own, targets.reports.agreedMillis(target.id, target.incarnation, own, now))
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
        val level = prompt.level

        /** Returns the best placement on [targets], whose load is [load]; null if there is none. */
        fun among(
            targets: List<Target>,
            load: (Target) -> TargetLoad,
        ): Placement? {
            val allowed = candidates(targets, service, tried, now)
            return streamPlacement.place(prompt, allowed.map(load), random.nextDouble())?.let { placementOf(it, allowed) }
        }

        /** Returns a placement on [targets] of a prompt that the [leftToLevel] of them can't serve now; null if it must not have one. */
        fun beyondReserve(
            targets: List<Target>,
            leftToLevel: Int,
            load: (Target) -> TargetLoad,
        ): Placement? {
            val allowed = candidates(targets, service, tried, now)
            val plan = streamPlacement.placeBeyondReserve(prompt, allowed.map(load), leftToLevel, random.nextDouble())
            return plan?.let { placementOf(it, allowed) }
        }

        private fun placementOf(
            plan: StreamPlan,
            allowed: List<Target>,
        ): Placement {
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
        fun isGood(plan: StreamPlan): Boolean = streamPlacement.isUncontended(prompt, plan, FREE_SLOTS)
    }

    private companion object {
        /** Failing targets of one zone from which on the zone is avoided. */
        const val FAILING_TARGETS = 3

        /** Free slots of an engine from which on no other one is looked for: one may be taken by a request that isn't known yet. */
        const val FREE_SLOTS = 2
    }
}
