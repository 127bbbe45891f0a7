/*
 * Placement by token cost. Long prompts are confined to a share of the engines that grows with the long prefills
 * in progress; other prompts avoid that share while any long prefill is in progress. Within its share a request takes
 * the cheaper of a few engines drawn at random, but prefers an engine that may have its prefix in cache unless that
 * engine is loaded well above the average. A decision reads a bounded number of views, whatever the table's size, unless
 * none of them is eligible.
 */
package yuccaferry.decisions.placement

import yuccaferry.model.TargetId
import kotlin.math.ceil

/** Cost added to a target without free capacity, in tokens; higher than the cost of any work. */
private const val FULL_TARGET_COST = 1L shl 40

/** Cost of the target that the prompt's prefix selects; lower than the cost of any other target. */
private const val PREFIX_TARGET_COST = -1L

/** Cost of each outstanding request beyond its prefill, in tokens. */
private const val COST_PER_REQUEST = 64L

/** Targets compared for one prefix. */
private const val PREFIX_NEIGHBOURS = 4
private const val DRAW_ATTEMPTS_PER_CHOICE = 8

/** Targets scanned when the drawn ones have no free capacity. */
private const val SCAN_STEPS = 64

/** Milliseconds of waiting that make a request one step more urgent. */
private const val AGEING_STEP_MILLIS = 2_000L
private const val PRIORITY_STEP_PER_CLASS = 10

/**
 * Places requests by prompt length.
 *
 * @property choices eligible targets drawn at random for one decision.
 * @property minLongShare share of the targets that long prompts may always use.
 * @property maxLongShare share of the targets that long prompts use at most.
 * @property prefixAffinity whether prompts prefer the targets that the hashes of their first blocks select.
 * @property loadBound highest ratio of outstanding prefill tokens to the average at which a target keeps its prefix affinity.
 * @property loadBoundTokens outstanding prefill tokens that never break prefix affinity, whatever the average.
 */
data class LengthAware(
    val choices: Int = 2,
    val minLongShare: Double = 0.15,
    val maxLongShare: Double = 0.5,
    val prefixAffinity: Boolean = true,
    val loadBound: Double = 1.25,
    val loadBoundTokens: Long = 8_000,
) : PlacementPolicy {
    override val setting
        get() = "length-aware"

    override fun rank(
        demand: Demand,
        table: TargetTable,
        turn: Long,
        eligible: (TargetView) -> Boolean,
    ): List<TargetId> {
        if (table.size == 0) return emptyList()
        val search = Search(demand, table, turn, eligible)
        val share = longShare(table)
        val long = demand.lengthClass == LengthClass.LONG
        if (prefixAffinity) search.offerPrefixTarget(if (long) share else table.size)
        when {
            long -> search.draw(0, share)
            table.longPrefills > 0 -> search.draw(share, table.size)
            else -> search.draw(0, table.size)
        }
        if (search.lacksRoom()) search.draw(0, table.size)
        if (search.lacksRoom()) search.scan(SCAN_STEPS)
        if (search.isEmpty()) search.scan(table.size)
        return search.ids()
    }

    override fun priorityOf(
        demand: Demand,
        waitedMillis: Long,
    ): Int = demand.lengthClass.ordinal * PRIORITY_STEP_PER_CLASS - (waitedMillis / AGEING_STEP_MILLIS).toInt()

    /** Returns the number of positions, from zero, that long prompts use: one more than the long prefills, within the bounds. */
    private fun longShare(table: TargetTable): Int {
        val least = ceil(table.size * minLongShare).toInt()
        val most = ceil(table.size * maxLongShare).toInt()
        return (table.longPrefills + 1).coerceIn(least, most)
    }

    /** One decision in progress. */
    private inner class Search(
        private val demand: Demand,
        private val table: TargetTable,
        turn: Long,
        private val eligible: (TargetView) -> Boolean,
    ) {
        private val shortlist = Shortlist()
        private var random = mix(turn xor stableHash(demand.request.value))
        private var foundRoom = false

        /** Returns whether no target with free capacity was found yet. */
        fun lacksRoom() = !foundRoom

        /** Returns whether no eligible target was found yet. */
        fun isEmpty() = shortlist.size == 0

        fun ids() = shortlist.ids()

        /** Offers up to [choices] eligible targets drawn from the positions [from] until [until]. */
        fun draw(
            from: Int,
            until: Int,
        ) {
            if (from >= until) return
            var left = choices
            repeat(choices * DRAW_ATTEMPTS_PER_CHOICE) {
                if (left == 0) return
                random = mix(random + 1)
                val view = table.at(from + random.mod(until - from))
                if (eligible(view)) {
                    offer(view, cost(view))
                    left--
                }
            }
        }

        /** Offers the eligible ones of [steps] targets from a random position on, until one has free capacity. */
        fun scan(steps: Int) {
            val first = random.mod(table.size)
            for (step in 0 until minOf(steps, table.size)) {
                if (foundRoom) return
                val view = table.at((first + step) % table.size)
                if (eligible(view)) offer(view, cost(view))
            }
        }

        /**
         * Offers the target below position [until] that the prompt's first blocks select, ahead of all others.
         * The block whose number, counted from one, is the highest power of two selects it, so that a growing
         * conversation rarely changes its target.
         */
        fun offerPrefixTarget(until: Int) {
            val blocks = demand.prefixBlocks
            if (blocks.isEmpty()) return
            val key = blocks[Integer.highestOneBit(blocks.size) - 1]
            val view = if (until == table.size) nearest(key) else candidate(jumpHash(key, until))
            view?.let { offer(it, PREFIX_TARGET_COST) }
        }

        /** Returns the candidate with the highest weight for [key] (rendezvous hashing) among the few targets that follow it. */
        private fun nearest(key: Long): TargetView? {
            val start = table.positionOf(mix(key))
            var best: TargetView? = null
            var bestWeight = Long.MIN_VALUE
            for (step in 0 until minOf(PREFIX_NEIGHBOURS, table.size)) {
                val position = (start + step) % table.size
                val weight = mix(key xor table.hashAt(position))
                val view = candidate(position)
                if (view != null && weight > bestWeight) {
                    best = view
                    bestWeight = weight
                }
            }
            return best
        }

        private fun candidate(position: Int): TargetView? = table.at(position).takeIf { eligible(it) && withinLoadBound(it) }

        private fun withinLoadBound(view: TargetView): Boolean {
            val average = table.outstandingPrefillTokens.toDouble() / table.size
            val bound = maxOf(loadBoundTokens.toDouble(), average * loadBound)
            return view.outstandingPrefillTokens <= bound && view.longPrefills == 0 && view.hasRoomFor(demand)
        }

        private fun offer(
            view: TargetView,
            cost: Long,
        ) {
            shortlist.offer(view, cost)
            foundRoom = foundRoom || view.hasRoomFor(demand)
        }

        private fun cost(view: TargetView): Long {
            val work = view.outstandingPrefillTokens + view.outstandingRequests * COST_PER_REQUEST
            return if (view.hasRoomFor(demand)) work else work + FULL_TARGET_COST
        }
    }
}
