package yuccaferry.decisions.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * All kinds arrive two and a half times as often for ten seconds, while a third of the engines is gone, at 119 gateways with views 5 to
 * 100 ms old. Prints a table of the policies for each seed, and under seed 0 for all of them.
 */
class ShortageWithRanksTest {
    private val kinds = ThreeRanks.kinds(BURST)

    private fun play(
        policy: RankedPolicy,
        seed: Int,
        gateways: Int,
        lostShare: Double,
    ) = RankedZone(ThreeRanks.figures, ENGINES_LEFT, gateways, policy, seed, lostShare).play(kinds, lengthMillis = 20_000.0)

    private fun print(
        title: String,
        seed: Int,
        outcomes: List<RankedOutcome>,
    ) = kinds.forEach { kind ->
        val asked = outcomes.filter { it.kind === kind }
        val firsts = asked.mapNotNull { it.firstMillis }.sorted()
        val refused = asked.filter { it.firstMillis == null }
        println(
            "seed=%d policy=%s kind=%s asked=%d on_time=%.3f served=%.3f p95_ms=%.0f refused=%d held_ms=%.0f".format(
                seed,
                title,
                kind.name,
                asked.size,
                asked.onTimeShare(),
                asked.servedShare(),
                firsts.getOrElse((firsts.size * 0.95).toInt()) { Double.NaN },
                refused.size,
                refused.map { it.heldMillis }.average(),
            ),
        )
    }

    private fun List<RankedOutcome>.onTimeShare() = count { it.isOnTime }.toDouble() / size

    private fun List<RankedOutcome>.servedShare() = count { it.isServed }.toDouble() / size

    private fun List<RankedOutcome>.of(rank: Int) = filter { it.kind.rank.value == rank }

    /** Plays all seeds: the shares of one are those of a few long prompts. */
    private fun playAll(
        policy: () -> RankedPolicy,
        title: String,
        gateways: Int = ThreeRanks.GATEWAYS,
        lostShare: Double = 0.0,
    ) = SEEDS
        .flatMap { seed ->
            play(policy(), seed, gateways, lostShare).also { print(title, seed, it) }
        }.also { print(title, seed = 0, it) }

    @Nested
    inner class `requests with ranks` {
        private val outcomes by lazy { playAll({ ThreeRanks.ranked }, "ranked") }

        @Test
        fun `the most urgent are on time more often than without ranks and with the baselines`() {
            val share = outcomes.of(rank = 0).onTimeShare()
            for (policy in listOf({ ThreeRanks.unranked }, { ThreeRanks.leastOutstanding }, { ThreeRanks.roundRobin() })) {
                val name = policy().name
                val other = playAll(policy, name).of(rank = 0).onTimeShare()
                assertTrue(share > other, "$share on time with ranks, $other with $name, seeds $SEEDS")
            }
        }

        @Test
        fun `no rank, client account or size class starves`() {
            val all = outcomes.servedShare()
            for (kind in kinds) {
                val asked = outcomes.filter { it.kind === kind }
                val share = asked.servedShare()
                val bySize = asked.sortedByDescending { it.tokens }
                val largest = bySize.take(asked.size / 10).servedShare()
                val next = bySize.drop(asked.size / 10).take(asked.size / 5).servedShare()
                println("seeds=$SEEDS kind=${kind.name} served=$share largest_tenth=$largest next_fifth=$next")
                assertTrue(share >= all / 4, "$share of ${kind.name} served, $all of all, seeds $SEEDS")
                assertTrue(
                    minOf(largest, next) >= share / 2,
                    "$largest, $next of the largest ${kind.name} served, $share of all, seeds $SEEDS",
                )
            }
            outcomes.groupBy { it.account }.forEach { (account, asked) ->
                val share = asked.servedShare()
                assertTrue(share >= all / 4, "$share of $account served, $all of all, seeds $SEEDS")
            }
        }

        @Test
        fun `a less urgent kind isn't served much more often than a more urgent one`() {
            val shares = (0..2).map { outcomes.of(it).servedShare() }
            assertTrue(shares[1] <= shares[0] + MORE_SERVED, "$shares served by rank, seeds $SEEDS")
            assertTrue(shares[2] <= shares[1] + MORE_SERVED, "$shares served by rank, seeds $SEEDS")
        }
    }

    @Nested
    inner class `with half of the gateways and a tenth of the messages lost` {
        @Test
        fun `the most urgent are on time more often than without ranks`() {
            val gateways = ThreeRanks.GATEWAYS / 2
            val ranked = playAll({ ThreeRanks.ranked }, "ranked-half", gateways, lostShare = 0.1).of(rank = 0).onTimeShare()
            val unranked = playAll({ ThreeRanks.unranked }, "unranked-half", gateways, lostShare = 0.1).of(rank = 0).onTimeShare()
            assertTrue(ranked > unranked, "$ranked on time with ranks, $unranked without, seeds $SEEDS")
        }
    }

    private companion object {
        val SEEDS = 1..8
        const val BURST = 2.4

        /** Engines of 54 that are left. */
        const val ENGINES_LEFT = 36

        /** Share by which a less urgent kind may be served more often: what callers of the more urgent one accept. */
        const val MORE_SERVED = 0.05
    }
}
