// What this daemon knows, and assumes, of the load of targets.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.gateway.peers.TargetKnowledge
import yuccaferry.gateway.view.FleetView
import yuccaferry.gateway.view.Target
import yuccaferry.gateway.view.UsableTargets
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import kotlin.math.roundToInt
import kotlin.random.Random

/** Load of targets as a daemon in [zone] knows it: all work in a small fleet, that of its own zone and all long prompts in a larger one. */
internal class KnownTargets(
    private val fleet: FleetView,
    private val targets: TargetKnowledge,
    private val zone: ZoneName,
    private val random: Random,
) {
    /** Returns the load of [target], with the requests at it that only the target itself has stated. */
    fun loadOf(
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

    /** Targets whose short prompts are known, all of them in a small fleet, otherwise those of one zone; without [failing] zones. */
    fun among(
        usable: UsableTargets,
        failing: Set<ZoneName>,
    ): List<Target> {
        val zones = usable.zones - failing
        if (targets.work.isComplete) return usable.all.filter { it.zone in zones }.ifEmpty { usable.all }
        val home = if (zone in zones) zone else zones.randomOrNull(random) ?: usable.zones.randomOrNull(random)
        return home?.let { usable.inZone(it) }.orEmpty()
    }

    /**
     * Zones in which this request, which the targets in [tried] failed, or several others could not be served: a zone often fails as a
     * whole, and to try its targets one by one would take longer than callers wait.
     */
    fun failingZones(
        usable: UsableTargets,
        tried: Set<TargetId>,
        now: MonotonicTime,
    ): Set<ZoneName> {
        val failing =
            targets.health
                .failing(now)
                .mapNotNull { usable.zoneOf(it) }
                .groupingBy { it }
                .eachCount()
        return tried.mapNotNullTo(HashSet()) { usable.zoneOf(it) } + failing.filterValues { it >= FAILING_TARGETS }.keys
    }

    /** Estimates the short requests at the known targets; those of a zone without usable targets go to the other zones. */
    fun shortRequests(
        usable: UsableTargets,
        now: MonotonicTime,
    ): Double {
        val known = targets.work.shortRequests(now)
        if (targets.work.isComplete) return known
        val zones = fleet.members.mapNotNullTo(HashSet()) { it.zone }.size
        return known * maxOf(1.0, zones.toDouble() / usable.zones.size)
    }

    /** Assumes that other zones have as many short requests as the one of the [known] targets; returns them by target. */
    fun assumedActive(
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

    /**
     * A few random targets of each zone that the [known] ones don't belong to. Daemons with the same assumptions about other zones would
     * otherwise all choose the same target there.
     */
    fun foreignSample(
        usable: UsableTargets,
        known: List<Target>,
    ): List<Target> {
        if (targets.work.isComplete) return (usable.all - known.toSet()).shuffled(random)
        return (usable.zones - known.first().zone).flatMap { zone ->
            val engines = usable.inZone(zone)
            List(ShortPool.SAMPLED_ENGINES) { engines.random(random) }.distinct()
        }
    }

    private companion object {
        /** Failing targets of one zone from which on the zone is avoided. */
        const val FAILING_TARGETS = 3
    }
}
