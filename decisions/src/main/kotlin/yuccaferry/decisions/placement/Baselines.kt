// Policies that ignore prompt length, kept as baselines for measurements.
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** Priority of every request under policies that treat all requests alike. */
const val EQUAL_PRIORITY = 0

/** Starts each decision at the target after the first one of the previous decision. */
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

/** Prefers targets with the fewest outstanding requests; rotates among equal ones. */
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
