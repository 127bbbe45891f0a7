// The few best of the targets that a decision looks at, without sorting or copying all of them.
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** Keeps the [RANKED_TARGETS] views of the lowest cost; of equal ones, those offered first. */
internal class Shortlist {
    private val views = arrayOfNulls<TargetView>(RANKED_TARGETS)
    private val costs = LongArray(RANKED_TARGETS)

    /** Number of views kept. */
    var size = 0
        private set

    /** Keeps [view] if it is among the best so far; a view that is kept already stays as it is. */
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

    /** Ids of the views kept, the lowest cost first. */
    fun ids(): List<TargetId> = List(size) { checkNotNull(views[it]).id }

    private fun contains(view: TargetView): Boolean {
        for (place in 0 until size) {
            if (views[place] === view) return true
        }
        return false
    }
}
