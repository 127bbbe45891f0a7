// Leaves out targets that have just started or recovered and have as many requests as they are allowed.
package yuccaferry.gateway.request

import yuccaferry.decisions.limits.withinPace
import yuccaferry.gateway.peers.TargetPaces
import yuccaferry.gateway.view.Target
import yuccaferry.gateway.view.UsableTargets
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Applies the limits of [paces] to targets; [active] returns the requests known at one. */
internal class PacedTargets(
    private val paces: TargetPaces,
    private val active: (Target, MonotonicTime) -> Int,
) {
    /** The last result, since the targets that are left out are the same for most requests. */
    private var last: Within? = null

    /** Returns those of [usable] that may get another request at [now], or all if none may. */
    fun within(
        usable: UsableTargets,
        now: MonotonicTime,
    ): UsableTargets {
        val heldBack = paces.heldBack(usable, now) { active(it, now) }
        if (heldBack.isEmpty()) return usable
        last?.takeIf { it.all === usable && it.heldBack == heldBack }?.let { return it.rest }
        val rest = UsableTargets(withinPace(usable.all, { it.id !in heldBack }, { active(it, now) < it.slots }))
        // Where half are left out, the others depend on their load too, which changes with each request.
        last = if (heldBack.size * 2 < usable.all.size) Within(usable, heldBack, rest) else null
        return rest
    }

    private class Within(
        val all: UsableTargets,
        val heldBack: Set<TargetId>,
        val rest: UsableTargets,
    )
}
