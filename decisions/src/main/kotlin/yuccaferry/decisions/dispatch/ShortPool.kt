/*
 * Sizes the part of a zone's engines on which short prompts are placed when their exact distribution isn't known. All daemons list the
 * engines in the same order; short prompts take random engines from its start, and long prompts take the others, so that the two
 * seldom meet although the daemons don't tell each other about every short prompt.
 */
package yuccaferry.decisions.dispatch

import kotlin.math.ceil
import kotlin.random.Random

/**
 * Part of a list of engines that is meant for short prompts.
 *
 * @property size number of engines at the start of the list.
 * @property assumedActive requests that an engine of the pool is assumed to process if nothing is known about it.
 */
data class ShortPool(
    val size: Int,
    val assumedActive: Int,
) {
    /** Returns a few random engines of the pool, the start of [engines]; the least loaded of them is to receive a short prompt. */
    fun <T> sample(
        engines: List<T>,
        random: Random,
    ): List<T> = engines.take(size).shuffled(random).take(SAMPLED_ENGINES)

    /** Returns more random engines of [engines], among them those kept for long prompts, for when the sampled ones may be full. */
    fun <T> widen(
        engines: List<T>,
        random: Random,
    ): List<T> = engines.take(size).shuffled(random).take(SAMPLED_ENGINES) + engines.drop(size).shuffled(random).take(SAMPLED_ENGINES)

    /** Returns the part of a list of [engines] in another zone that short prompts may have, whose number there is not known. */
    fun assumedSizeOf(engines: Int): Int = minOf((size * FOREIGN_MARGIN).toInt(), ceil(engines * MAX_SHARE).toInt())

    companion object {
        /** Returns the pool for [shortRequests] concurrent short requests on [engines] engines with [slots] slots each. */
        fun of(
            shortRequests: Double,
            engines: Int,
            slots: Int,
        ): ShortPool {
            val packed = slots * PACKED_SHARE
            val needed = ceil(shortRequests / packed) + ceil(engines * SPARE_SHARE)
            val most = maxOf(1, ceil(engines * MAX_SHARE).toInt())
            return ShortPool(needed.toInt().coerceIn(1, most), packed.toInt())
        }

        /** Share of the slots that random placement fills on average; the rest is for engines that are drawn more often than others. */
        private const val PACKED_SHARE = 0.45

        /** Share of the engines added to the pool: the first requests of a burst arrive before their numbers are told. */
        private const val SPARE_SHARE = 0.2

        /** Largest share of the engines in the pool, so that short prompts never take all of them. */
        private const val MAX_SHARE = 0.7

        /** Engines compared for one prompt: few enough that daemons with the same knowledge seldom choose the same engine. */
        const val SAMPLED_ENGINES = 3

        /** Factor between the pools of two zones that is assumed not to be exceeded. */
        private const val FOREIGN_MARGIN = 1.5
    }
}
