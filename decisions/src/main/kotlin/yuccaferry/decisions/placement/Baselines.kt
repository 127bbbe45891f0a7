// Policies that are blind to length, kept as baselines for measurements.
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** The one priority of policies that don't tell requests apart. */
const val EQUAL_PRIORITY = 0

/** Each decision starts at the target after that of the decision before. */
data object RoundRobin : PlacementPolicy {
    override val setting = "round-robin"

    override fun rank(
        demand: Demand,
        table: TargetTable,
        turn: Long,
        eligible: (TargetView) -> Boolean,
    ): List<TargetId> {
        val ranked = ArrayList<TargetId>(RANKED_TARGETS)
        val first = if (table.size == 0) 0 else turn.mod(table.size)
        for (step in 0 until table.size) {
            val view = table.at((first + step) % table.size)
            if (eligible(view)) ranked += view.id
            if (ranked.size == RANKED_TARGETS) break
        }
        return ranked
    }

    override fun priorityOf(
        demand: Demand,
        waitedMillis: Long,
    ) = EQUAL_PRIORITY
}

/** Prefers targets with the fewest outstanding requests; equal ones take turns. */
data object LeastOutstandingRequests : PlacementPolicy {
    override val setting = "least-outstanding"

    override fun rank(
        demand: Demand,
        table: TargetTable,
        turn: Long,
        eligible: (TargetView) -> Boolean,
    ): List<TargetId> {
        val shortlist = Shortlist()
        val first = if (table.size == 0) 0 else turn.mod(table.size)
        for (step in 0 until table.size) {
            val view = table.at((first + step) % table.size)
            if (eligible(view)) shortlist.offer(view, view.outstandingRequests.toLong())
        }
        return shortlist.ids()
    }

    override fun priorityOf(
        demand: Demand,
        waitedMillis: Long,
    ) = EQUAL_PRIORITY
}
