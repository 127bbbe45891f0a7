/*
 * Targets of one model or plain service, indexed so that a placement decision reads only a few of them.
 * Targets are ordered by a hash of their id, which spreads zones evenly and allows a binary search for
 * the targets of a key. Totals are updated with each change.
 */
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId

/** Views of the targets that serve one name; not thread-safe. */
class TargetTable {
    private val ordered = ArrayList<TargetView>()
    private val positions = HashMap<TargetId, Int>()
    private var hashes = LongArray(0)

    /** Number of targets. */
    val size: Int
        get() = ordered.size

    /** Sum of the prompt tokens still to be computed on all targets. */
    var outstandingPrefillTokens: Long = 0
        private set

    /** Sum of the long prefills in progress on all targets. */
    var longPrefills: Int = 0
        private set

    /** All views, ordered by position. */
    val views: List<TargetView>
        get() = ordered

    /** Returns the view of [id], or null when the target is not in the table. */
    operator fun get(id: TargetId): TargetView? = positions[id]?.let { ordered[it] }

    /** Inserts [view] or replaces the view of the same id. Replacing takes constant time, inserting linear time. */
    fun put(view: TargetView) {
        val position = positions[view.id]
        if (position == null) {
            insert(view)
        } else {
            subtractTotals(ordered[position])
            ordered[position] = view
        }
        addTotals(view)
    }

    /** Removes the target [id], if it is in the table. Takes linear time. */
    fun remove(id: TargetId) {
        val position = positions.remove(id) ?: return
        subtractTotals(ordered.removeAt(position))
        reindex()
    }

    /** Returns the view at [position], which is below [size]. */
    internal fun at(position: Int): TargetView = ordered[position]

    /** Returns the hash by which the target at [position] is ordered. */
    internal fun hashAt(position: Int): Long = hashes[position]

    /** Returns the position of the first target whose hash is not below [key], or zero when there is none. */
    internal fun positionOf(key: Long): Int {
        val found = hashes.binarySearch(key)
        val position = if (found >= 0) found else -found - 1
        return if (position == size) 0 else position
    }

    private fun insert(view: TargetView) {
        val found = hashes.binarySearch(hashOf(view.id))
        ordered.add(if (found >= 0) found else -found - 1, view)
        reindex()
    }

    private fun reindex() {
        hashes = LongArray(ordered.size) { hashOf(ordered[it].id) }
        ordered.forEachIndexed { position, view -> positions[view.id] = position }
    }

    private fun addTotals(view: TargetView) {
        outstandingPrefillTokens += view.outstandingPrefillTokens
        longPrefills += view.longPrefills
    }

    private fun subtractTotals(view: TargetView) {
        outstandingPrefillTokens -= view.outstandingPrefillTokens
        longPrefills -= view.longPrefills
    }

    private fun hashOf(id: TargetId): Long = mix(stableHash(id.value))
}
