// Splits the rate limit of a cold target between daemons.
package yuccaferry.decisions.limits

import yuccaferry.model.DaemonName
import yuccaferry.model.TargetId

/**
 * Share of one daemon in the requests per second that all daemons together may send to a cold target.
 *
 * While every daemon's equal share is at least one request, each gets that share. In a larger fleet, equal shares would round to none,
 * so a few daemons get one request each and the others none.
 */
class ColdShares(
    private val own: DaemonName,
) {
    private val rights = HashMap<TargetId, Right>()

    /**
     * Returns this daemon's requests per second to the cold [target], of [fleetPerSecond] for all [daemons]. [candidates] are the
     * daemons between which the right is given when equal shares are too small, the same on each of them.
     */
    fun perSecond(
        target: TargetId,
        fleetPerSecond: Double,
        daemons: Int,
        candidates: Collection<DaemonName>,
    ): Double {
        if (fleetPerSecond >= daemons) return fleetPerSecond / daemons
        val known = rights[target]?.takeIf { it.candidates === candidates }
        val right = known ?: Right(candidates, holdsRight(own, target, candidates, holders(fleetPerSecond))).also { rights[target] = it }
        return if (right.isHeld) 1.0 else 0.0
    }

    /** Drops what is remembered of [target]. */
    fun forget(target: TargetId) {
        rights -= target
    }

    private fun holders(fleetPerSecond: Double) = maxOf(1, (fleetPerSecond / VIEW_MARGIN).toInt())

    private class Right(
        val candidates: Collection<DaemonName>,
        val isHeld: Boolean,
    )

    private companion object {
        /** Factor by which daemons whose lists of each other differ may choose more holders than intended. */
        const val VIEW_MARGIN = 2.0
    }
}
