package yuccaferry.decisions.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertTrue

/** Short prompts arrive two and a half times as often for ten seconds, while longer ones are read; five seeds, printed on failure. */
class ShortBurstTest {
    private val short = LargeSite.short { if (it in 5_000.0..15_000.0) 93.0 else 37.0 }

    // One engine reads the longest of these in time; prompts in parts are not emulated.
    private val medium = PromptKind({ 3.0 }, 40_000.0, 0.4, 65_000, 16.0, targetMillis = 1_500)

    private val packed = ZonePolicy { prompt, view, random -> LargeSite.placement.place(prompt, view.engines, random.nextDouble()) }

    private fun outcomes(
        policy: ZonePolicy,
        viewAgeMillis: Double,
        seed: Int,
    ) = EmulatedZone(LargeSite.figures, LargeSite.ENGINES, viewAgeMillis, policy, seed).play(listOf(short, medium), lengthMillis = 20_000.0)

    @Nested
    inner class `a pool of which random engines are compared` {
        @Test
        fun `serves 95 of 100 short prompts on time with knowledge 100 ms old`() {
            for (seed in SEEDS) {
                val share = outcomes(LargeSite.pooled, viewAgeMillis = 100.0, seed).onTimeShare(short)
                assertTrue(share >= LargeSite.REQUIRED_SHARE, "$share on time, seed $seed")
            }
        }

        @Test
        fun `serves 95 of 100 medium prompts on time beside them`() {
            for (seed in SEEDS) {
                val share = outcomes(LargeSite.pooled, viewAgeMillis = 100.0, seed).onTimeShare(medium)
                assertTrue(share >= LargeSite.REQUIRED_SHARE, "$share on time, seed $seed")
            }
        }

        @Test
        fun `serves more short prompts on time than engines filled in order`() {
            for (seed in SEEDS) {
                val pool = outcomes(LargeSite.pooled, viewAgeMillis = 100.0, seed).onTimeShare(short)
                val order = outcomes(packed, viewAgeMillis = 100.0, seed).onTimeShare(short)
                println("seed=$seed pool=$pool order=$order")
                assertTrue(pool > order, "$pool with the pool, $order in order, seed $seed")
            }
        }
    }

    private companion object {
        val SEEDS = 1..5
    }
}
