// Places calls of plain services on the target with the least work per slot.
package yuccaferry.decisions.dispatch

import yuccaferry.model.ZoneName

/** Returns the cheapest of [targets] for a call from [zone], or null when there are none. [pick], in [0, 1), breaks ties. */
fun placeCall(
    targets: List<TargetLoad>,
    zone: ZoneName,
    pick: Double,
): TargetLoad? {
    if (targets.isEmpty()) return null
    val costs = targets.map { callCost(it, zone) }
    val least = costs.min()
    val best = targets.indices.filter { costs[it] <= least + CALL_TIE_COST }
    return targets[best[(pick * best.size).toInt().coerceAtMost(best.size - 1)]]
}

private fun callCost(
    target: TargetLoad,
    zone: ZoneName,
): Double {
    val queueing = target.active.toDouble() / target.slots
    val crossZone = if (target.zone == zone) 0.0 else CROSS_ZONE_COST
    return queueing + crossZone + target.penaltyMillis / PENALTY_MILLIS_PER_SLOT_ROUND
}

/** Cost difference that counts as a tie, in rounds of a target's slots. */
private const val CALL_TIE_COST = 0.05

/** Cost of a target in another zone, in rounds of its slots; low, because a round trip is short compared with a call's work. */
private const val CROSS_ZONE_COST = 0.1

/** Penalty in milliseconds that costs as much as one full round of a target's slots. */
private const val PENALTY_MILLIS_PER_SLOT_ROUND = 100.0
