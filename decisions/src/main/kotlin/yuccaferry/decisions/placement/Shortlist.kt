// Keeps the few best targets of a decision without sorting or copying all of them.
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** Keeps the [RANKED_TARGETS] views with the lowest cost; among equal ones, those offered first. */
internal class Shortlist {
    private val views = arrayOfNulls<TargetView>(RANKED_TARGETS)
    private val costs = LongArray(RANKED_TARGETS)

    /** Number of views kept. */
    var size = 0
        private set

    /** Keeps [view] if it is among the best so far; a view that is already kept stays at its cost. */
    fun offer(
        view: TargetView,
        cost: Long,
    ) {
        if (contains(view)) return
        if (size == RANKED_TARGETS && cost >= costs[size - 1]) return
        var place = if (size < RANKED_TARGETS) size++ else size - 1
        while (place > 0 && costs[place - 1] > cost) {
            views[place] = views[place - 1]
            costs[place] = costs[place - 1]
            place--
        }
        views[place] = view
        costs[place] = cost
    }

    /** Returns the ids of the kept views, lowest cost first. */
    fun ids(): List<TargetId> = List(size) { checkNotNull(views[it]).id }

    private fun contains(view: TargetView): Boolean {
        for (place in 0 until size) {
            if (views[place] === view) return true
        }
        return false
    }
}
