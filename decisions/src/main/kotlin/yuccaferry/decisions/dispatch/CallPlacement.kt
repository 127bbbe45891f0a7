// Places calls of plain services on the target with the least work for its slots.
package yuccaferry.decisions.dispatch

import yuccaferry.model.ZoneName

/** The target of [targets] for one call from [zone], with ties broken by the position [pick] from 0 until 1; null when there are none. */
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
    val away = if (target.zone == zone) 0.0 else AWAY_COST
    return queueing + away + target.penaltyMillis / PENALTY_MILLIS_PER_SLOT_ROUND
}

/** Difference of cost, in rounds of a target's slots, that counts as a tie. */
private const val CALL_TIE_COST = 0.05

/** Cost of another zone, in rounds of a target's slots: a round trip is short beside one call's work. */
private const val AWAY_COST = 0.1

/** Milliseconds of penalty that weigh as much as one full round of a target's slots. */
private const val PENALTY_MILLIS_PER_SLOT_ROUND = 100.0
