/*
 * Room that less urgent requests leave free for more urgent ones (trunk reservation). Every daemon applies the same thresholds to what it
 * knows of an engine, so urgent requests find room without a message that asks for it, and a place that becomes free goes to the most
 * urgent request that waits at any daemon.
 */
package yuccaferry.decisions.dispatch

import kotlin.math.ceil

/** The room at engines that requests of each urgency level may take; zero or less is the most urgent level, which may take all. */
object RankReserve {
    /** Returns whether a short request of [level] may be sent to an engine with [load] now. */
    fun mayTakePlace(
        load: TargetLoad,
        level: Int,
    ): Boolean = level <= 0 || load.active < load.slots - keptSlots(load.slots, level)

    /**
     * Returns those of [engines], in the order common to all daemons, on which long prompts of [level] may be placed: for less urgent ones
     * not the first [forShort] engines, on which short prompts are placed, nor those kept for the levels in between.
     */
    fun <T> enginesForLong(
        engines: List<T>,
        forShort: Int,
        level: Int,
    ): List<T> {
        if (level <= 0) return engines
        val forOthers = engines.size * LEVEL_SHARE * (level - 1)
        val least = maxOf(1, maxOf(engines.size * LEAST_SHARE - forOthers, engines.size * LEVEL_SHARE).toInt())
        return engines.drop(minOf(forShort + ceil(forOthers).toInt(), engines.size - least))
    }

    /** Returns the slots that requests of [level] leave free at an engine with [slots] slots; never all of them. */
    private fun keptSlots(
        slots: Int,
        level: Int,
    ): Int = minOf(ceil(slots * SLOT_SHARE * level).toInt(), (slots * MOST_KEPT_SHARE).toInt())

    /** Share of the slots kept free for each more urgent level: what urgent arrivals take before their numbers are told. */
    private const val SLOT_SHARE = 0.125

    /** Largest share of the slots kept free, so that no level is left without room. */
    private const val MOST_KEPT_SHARE = 0.5

    /** Share of the engines kept free of long prompts for each level between theirs and the most urgent one. */
    private const val LEVEL_SHARE = 0.1

    /** Share of the engines that is left to long prompts of all levels, whatever short ones need. */
    private const val LEAST_SHARE = 0.3
}
