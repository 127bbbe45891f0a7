package yuccaferry.decisions.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * All kinds arrive two and a half times as often for ten seconds, while some of the engines are gone, at 119 gateways with views 5 to 100 ms
 * old. Prints a table of the policies; three seeds, printed with it.
 */
class ShortageWithRanksTest {
    private val kinds = ThreeRanks.kinds(BURST)

    private fun play(
        policy: RankedPolicy,
        seed: Int,
        engines: Int = ENGINES_LEFT,
        gateways: Int = ThreeRanks.GATEWAYS,
        lostShare: Double = 0.0,
    ) = RankedZone(ThreeRanks.figures, engines, gateways, policy, seed, lostShare).play(kinds, lengthMillis = 20_000.0)

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

    @Nested
    inner class `requests with ranks` {
        private fun forEachSeed(check: (Int, List<RankedOutcome>) -> Unit) =
            SEEDS.forEach { seed -> check(seed, play(ThreeRanks.ranked, seed).also { print("ranked", seed, it) }) }

        @Test
        fun `the most urgent are on time more often than without ranks and with the baselines`() =
            forEachSeed { seed, outcomes ->
                val share = outcomes.of(rank = 0).onTimeShare()
                for (policy in listOf(ThreeRanks.unranked, ThreeRanks.leastOutstanding, ThreeRanks.roundRobin())) {
                    val other = play(policy, seed).also { print(policy.name, seed, it) }.of(rank = 0).onTimeShare()
                    assertTrue(share > other, "$share on time with ranks, $other with ${policy.name}, seed $seed")
                }
            }

        @Test
        fun `no rank, client account or size class starves`() =
            forEachSeed { seed, outcomes ->
                val all = outcomes.servedShare()
                for (kind in kinds) {
                    val asked = outcomes.filter { it.kind === kind }
                    val share = asked.servedShare()
                    assertTrue(share >= all / 4, "$share of ${kind.name} served, $all of all, seed $seed")
                    val largest = asked.sortedByDescending { it.tokens }.take(asked.size / 10).servedShare()
                    assertTrue(largest >= share / 2, "$largest of the largest ${kind.name} served, $share of all, seed $seed")
                }
                outcomes.groupBy { it.account }.forEach { (account, asked) ->
                    val share = asked.servedShare()
                    assertTrue(share >= all / 4, "$share of $account served, $all of all, seed $seed")
                }
            }

        @Test
        fun `a less urgent kind isn't served much more often than a more urgent one`() =
            forEachSeed { seed, outcomes ->
                val shares = (0..2).map { outcomes.of(it).servedShare() }
                assertTrue(shares[1] <= shares[0] + MORE_SERVED, "$shares served by rank, seed $seed")
                assertTrue(shares[2] <= shares[1] + MORE_SERVED, "$shares served by rank, seed $seed")
            }
    }

    @Nested
    inner class `with half of the gateways and a tenth of the messages lost` {
        @Test
        fun `the most urgent are on time more often than without ranks`() {
            for (seed in SEEDS) {
                val ranked = play(ThreeRanks.ranked, seed, gateways = ThreeRanks.GATEWAYS / 2, lostShare = 0.1)
                val unranked = play(ThreeRanks.unranked, seed, gateways = ThreeRanks.GATEWAYS / 2, lostShare = 0.1)
                print("ranked-half", seed, ranked)
                print("unranked-half", seed, unranked)
                val shares = listOf(ranked, unranked).map { it.of(rank = 0).onTimeShare() }
                assertTrue(shares[0] > shares[1], "$shares on time with and without ranks, seed $seed")
            }
        }
    }

    private companion object {
        val SEEDS = 1..3
        const val BURST = 2.4

        /** Engines of 54 that are left. */
        const val ENGINES_LEFT = 36

        /** Share by which a less urgent kind may be served more often: what callers of the more urgent one accept. */
        const val MORE_SERVED = 0.05
    }
}
