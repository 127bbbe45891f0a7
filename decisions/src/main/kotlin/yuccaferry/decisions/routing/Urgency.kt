/*
 * Urgency of requests. Operators give routes and accounts a rank; what counts is a request's position among the ranks of its service, and
 * a service all of whose requests have the same rank treats them alike.
 */
package yuccaferry.decisions.routing

/** Rank of a request as the configuration states it; zero is the most urgent. */
@JvmInline
value class Rank(
    val value: Int,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/**
 * Urgency of a request among those of its service.
 *
 * @property level position of its rank among the service's ranks; zero is the most urgent.
 * @property levels number of the service's ranks, at least two.
 */
data class Urgency(
    val rank: Rank,
    val level: Int,
    val levels: Int,
) {
    /**
     * Returns the level of a request that has waited for [waitedMillis] of the [timeoutMillis] from its arrival to its deadline. It falls
     * with time, also below zero, so that every request is the most urgent one before its deadline if it waits long enough.
     */
    fun agedLevel(
        waitedMillis: Long,
        timeoutMillis: Long,
    ): Int = level - agedSteps(waitedMillis, timeoutMillis)

    /** Returns the rank that the request counts as after [waitedMillis] of [timeoutMillis]. */
    fun agedRank(
        waitedMillis: Long,
        timeoutMillis: Long,
    ): Rank = Rank(maxOf(0, rank.value - agedSteps(waitedMillis, timeoutMillis)))

    private fun agedSteps(
        waitedMillis: Long,
        timeoutMillis: Long,
    ): Int = (maxOf(0, waitedMillis) / maxOf(1.0, timeoutMillis * AGEING_SHARE)).toInt()

    private companion object {
        /**
         * Share of the time from arrival to deadline after which a request counts as one level more urgent: with three levels, the least
         * urgent request is among the most urgent ones while half of its time is left for its answer.
         */
        const val AGEING_SHARE = 0.2
    }
}

/** The different [ranks] of one service's requests. */
class RankScale(
    ranks: Collection<Rank>,
) {
    private val sorted = ranks.distinct().sorted()

    /** Returns the urgency of a request of [rank]; null if all requests of the service have the same rank. */
    fun urgencyOf(rank: Rank): Urgency? {
        if (sorted.size < 2) return null
        return Urgency(rank, level = sorted.count { it < rank }, levels = sorted.size)
    }
}
