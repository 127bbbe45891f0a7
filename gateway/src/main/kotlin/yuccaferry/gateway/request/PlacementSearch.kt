// The search for the targets of one prompt.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.RankReserve
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.gateway.view.Target
import yuccaferry.gateway.view.UsableTargets
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.random.Random

/**
 * Searches for a placement of [prompt] at [now].
 *
 * @param tried targets that have failed this request.
 * @param candidates returns those of some targets that may get the request, without those tried if there are others.
 */
internal class PlacementSearch(
    private val knownTargets: KnownTargets,
    private val streamPlacement: StreamPlacement,
    private val prompt: Prompt,
    private val tried: Set<TargetId>,
    private val now: MonotonicTime,
    private val random: Random,
    private val candidates: (List<Target>) -> List<Target>,
) {
    /** Searches the engines whose work is known first, and all engines only if that finds no good placement. */
    fun place(usable: UsableTargets): Placement? {
        val known = knownTargets.among(usable, knownTargets.failingZones(usable, tried, now))
        if (known.isEmpty()) return null
        val pool = ShortPool.of(knownTargets.shortRequests(usable, now), known.size, maxOf(1, known.first().slots))
        return if (streamPlacement.isLong(prompt.promptTokens)) placeLong(usable, known, pool) else placeShort(usable, known, pool)
    }

    /** Compares a few engines of the pool, and if none of them is good others too. */
    private fun placeShort(
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): Placement? {
        val sampled = pool.sample(known, random)
        val first = among(sampled) { knownTargets.loadOf(it, now) }
        if (first != null && isGood(first.plan)) return first
        val others = (sampled + pool.widen(known, random) + knownTargets.foreignSample(usable, known)).distinct()
        return among(others, assumedLoad(usable, known, pool))
    }

    /** Compares the engines of the zone that the level of the prompt leaves to it, and if none of them is good those of all zones. */
    private fun placeLong(
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): Placement? {
        val first = among(RankReserve.enginesForLong(known, pool.size, prompt.level)) { knownTargets.loadOf(it, now) }
        if (first != null && isGood(first.plan)) return first
        val load = assumedLoad(usable, known, pool)
        val all = known + (usable.all - known.toSet())
        if (prompt.level <= 0) return among(all, load)
        val left = leftToLevel(usable, known, pool)
        return among(left, load)?.takeIf { it.isServable } ?: beyondReserve(all, left.size, load)
    }

    /** Returns the load of targets, with the short requests that are assumed in other zones. */
    private fun assumedLoad(
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): (Target) -> TargetLoad {
        val assumedActive = knownTargets.assumedActive(usable, known, pool)
        return { target ->
            val load = knownTargets.loadOf(target, now)
            load.copy(active = maxOf(load.active, assumedActive[target.id] ?: 0))
        }
    }

    /** Returns the engines that the level of a long prompt leaves to it, the [known] ones first. */
    private fun leftToLevel(
        usable: UsableTargets,
        known: List<Target>,
        pool: ShortPool,
    ): List<Target> {
        val others = usable.zones - known.mapTo(HashSet()) { it.zone }
        return RankReserve.enginesForLong(known, pool.size, prompt.level) +
            others.map { usable.inZone(it) }.flatMap { RankReserve.enginesForLong(it, pool.assumedSizeOf(it.size), prompt.level) }
    }

    /** Returns the best placement on [targets], whose load is [load]; null if there is none. */
    private fun among(
        targets: List<Target>,
        load: (Target) -> TargetLoad,
    ): Placement? {
        val allowed = candidates(targets)
        return streamPlacement.place(prompt, allowed.map(load), random.nextDouble())?.let { placementOf(it, allowed) }
    }

    /** Returns a placement on [targets] of a prompt that the [leftToLevel] of them can't serve now; null if it must not have one. */
    private fun beyondReserve(
        targets: List<Target>,
        leftToLevel: Int,
        load: (Target) -> TargetLoad,
    ): Placement? {
        val allowed = candidates(targets)
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
    private fun isGood(plan: StreamPlan): Boolean = streamPlacement.isUncontended(prompt, plan, FREE_SLOTS)

    private companion object {
        /** Free slots of an engine from which on no other one is looked for: one may be taken by a request that isn't known yet. */
        const val FREE_SLOTS = 2
    }
}
