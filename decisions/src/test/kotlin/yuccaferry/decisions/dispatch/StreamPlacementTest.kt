package yuccaferry.decisions.dispatch

import org.junit.jupiter.api.Nested
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StreamPlacementTest {
    private val figures =
        EngineFigures(
            slots = 11,
            memoryTokens = 405_000,
            stepMillis = 1.31,
            stepMillisPerSequence = 0.0013,
            contextMillisPerThousand = 0.00213,
            prefillTokensPerMillisecond = 154.0,
            pairMillisPerMillion = 0.162,
            chunkTokens = 2_048,
            stepsPerPass = 34,
        )
    private val placement = StreamPlacement(EngineModel(figures))

    private fun engine(
        name: String,
        active: Int = 0,
        remainingPrefillMillis: Double = 0.0,
        heldTokens: Long = 0,
        longRequests: Int = 0,
        penaltyMillis: Double = 0.0,
    ) = TargetLoad(TargetId(name), ZoneName("z"), active, remainingPrefillMillis, heldTokens, longRequests, penaltyMillis, slots = 11)

    private fun prompt(
        tokens: Long,
        totalTokens: Long,
        waitedMillis: Long = 0,
    ) = Prompt(tokens, totalTokens, latencyTargetMillis = 3_000, waitedMillis, remainingMillis = 15_000 - waitedMillis)

    private fun place(
        prompt: Prompt,
        engines: List<TargetLoad>,
    ) = placement.place(prompt, engines, pick = 0.0)

    private fun mainOf(
        tokens: Long,
        vararg engines: TargetLoad,
        pick: Double = 0.0,
    ) = placement
        .place(prompt(tokens, tokens + 800), engines.toList(), pick)
        ?.main
        ?.id
        ?.value

    @Test
    fun `without engines there is no plan`() {
        assertNull(mainOf(4_960))
    }

    @Nested
    inner class `a predicted time` {
        private fun predicted(active: Int) = assertNotNull(place(prompt(4_960, 5_960), listOf(engine("a", active)))).predictedMillis

        @Test
        fun `includes the wait for a slot of a full engine`() {
            val answerMillis = 1_000 * placement.model.passMillis(11, 0) / figures.stepsPerPass
            assertEquals(answerMillis / 11, predicted(active = 11) - predicted(active = 10), absoluteTolerance = 2.0)
            assertEquals(5 * answerMillis / 11, predicted(active = 15) - predicted(active = 10), absoluteTolerance = 2.0)
        }

        @Test
        fun `includes no wait while a slot is free`() {
            assertEquals(0.0, predicted(active = 10) - predicted(active = 0), absoluteTolerance = 2.0)
        }
    }

    @Nested
    inner class `a short prompt` {
        @Test
        fun `is packed on the first engine up to its packed share`() {
            assertEquals("a", mainOf(4_960, engine("a", active = 4), engine("b")))
            assertEquals("b", mainOf(4_960, engine("a", active = 9), engine("b")))
        }

        @Test
        fun `avoids an engine that prefills a long prompt`() {
            assertEquals(
                "b",
                mainOf(4_960, engine("a", active = 1, remainingPrefillMillis = 900.0, longRequests = 1), engine("b", active = 3)),
            )
        }

        @Test
        fun `avoids an engine that failed recently`() {
            assertEquals("b", mainOf(4_960, engine("a", penaltyMillis = 1_000.0), engine("b", active = 6)))
        }
    }

    @Nested
    inner class `a long prompt` {
        @Test
        fun `takes the least loaded engine`() {
            assertEquals("b", mainOf(45_000, engine("a", active = 5), engine("b"), engine("c", remainingPrefillMillis = 1_500.0)))
        }

        @Test
        fun `takes any of the equivalent engines`() {
            val engines = arrayOf(engine("a", active = 5), engine("b"), engine("c"))
            assertEquals(setOf("b", "c"), listOf(0.0, 0.4, 0.7).map { mainOf(45_000, *engines, pick = it) }.toSet())
        }

        @Test
        fun `avoids an engine that decodes another long request`() {
            assertEquals("a", mainOf(45_000, engine("a", active = 5), engine("b", active = 1, longRequests = 1)))
        }

        @Test
        fun `is split into as many parts as the rest of its target latency needs`() {
            val idle = List(8) { engine("e$it") }
            assertEquals(1, place(prompt(182_000, 183_000), idle)?.helpers?.size)
            assertEquals(3, place(prompt(260_000, 261_000), idle)?.helpers?.size)
            assertEquals(2, place(prompt(182_000, 183_000, waitedMillis = 1_000), idle)?.helpers?.size)
            assertTrue(place(prompt(260_000, 261_000), idle)!!.helpers.all { it.reservedTokens == 0L })
        }
    }

    @Test
    fun `a long prompt does not wait when there is only one engine`() {
        assertFalse(shouldWait(prompt(45_000, 46_000), listOf(engine("a"))))
    }

    @Nested
    inner class `a prompt that needs many engines to be on time` {
        private val prompt = prompt(550_000, 551_000)

        @Test
        fun `takes them while enough engines are left for short prompts`() {
            assertEquals(13, place(prompt, List(17) { engine("e$it") })?.helpers?.size)
        }

        @Test
        fun `takes only as many as its deadline needs when short prompts need the others`() {
            assertEquals(3, place(prompt, List(14) { engine("e$it") })?.helpers?.size)
            val withShort = List(4) { engine("b$it", active = 9) } + List(13) { engine("e$it") }
            assertEquals(3, place(prompt, withShort)?.helpers?.size)
        }

        @Test
        fun `has no helper that still prefills a long prompt`() {
            val busy = List(18) { engine("b$it", remainingPrefillMillis = 50.0, longRequests = 1) }
            assertEquals(0, place(prompt(182_000, 183_000), busy)?.helpers?.size)
        }
    }

    private fun shouldWait(
        prompt: Prompt,
        engines: List<TargetLoad>,
    ) = placement.shouldWait(prompt, assertNotNull(place(prompt, engines)))

    @Nested
    inner class `a long prompt that would be late` {
        private val busy = List(10) { engine("e$it", remainingPrefillMillis = 900.0, longRequests = 1) }
        private val idle = List(4) { engine("i$it") }

        @Test
        fun `waits for idle engines while it could still be on time`() {
            val oneIdle = busy + List(3) { engine("i$it") }
            assertTrue(shouldWait(prompt(300_000, 301_000), oneIdle))
            assertFalse(shouldWait(prompt(300_000, 301_000, waitedMillis = 1_300), oneIdle))
        }

        @Test
        fun `waits for an idle engine rather than delay other requests`() {
            val writing = List(6) { engine("e$it", active = 1) }
            assertTrue(shouldWait(prompt(45_000, 46_000), writing))
            assertFalse(shouldWait(prompt(45_000, 46_000, waitedMillis = 1_300), writing))
            assertFalse(shouldWait(prompt(45_000, 46_000), writing + engine("i")))
        }

        @Test
        fun `does not wait when idle engines make it on time`() {
            assertFalse(shouldWait(prompt(182_000, 183_000), busy + List(6) { engine("i$it") }))
        }

        @Test
        fun `does not wait when it needs more engines than are likely to become idle`() {
            assertFalse(shouldWait(prompt(600_000, 601_000), busy + idle))
        }
    }

    @Nested
    inner class `a long prompt while short prompts need all engines` {
        private val crowded =
            List(6) { engine("e$it", active = 8) } + List(2) { engine("l$it", remainingPrefillMillis = 500.0, longRequests = 1) }

        @Test
        fun `waits for a share of its timeout`() {
            assertTrue(shouldWait(prompt(45_000, 46_000), crowded))
            assertTrue(shouldWait(prompt(45_000, 46_000, waitedMillis = 4_400), crowded))
            assertFalse(shouldWait(prompt(45_000, 46_000, waitedMillis = 4_600), crowded))
        }

        @Test
        fun `does not wait while long prompts have less than their share of the engines`() {
            val engines = List(9) { engine("e$it", active = 8) } + engine("i")
            assertFalse(shouldWait(prompt(45_000, 46_000), engines))
        }

        @Test
        fun `does not wait when there is an engine that short prompts do not need`() {
            assertFalse(shouldWait(prompt(45_000, 46_000), crowded + List(3) { engine("i$it") }))
        }
    }

    @Nested
    inner class `a prompt beyond one engine's memory` {
        @Test
        fun `has the rest held in another engine's memory`() {
            val plan = assertNotNull(place(prompt(550_000, 551_000), List(10) { engine("e$it") }))
            assertEquals(551_000 - 364_500, plan.helpers.sumOf { it.reservedTokens })
            assertEquals(1, plan.helpers.count { it.reservedTokens > 0 })
        }

        @Test
        fun `is held in a busy engine's memory when none is idle`() {
            val busy = List(10) { engine("e$it", active = 6) }
            assertEquals(1, place(prompt(550_000, 551_000), busy)?.helpers?.count { it.reservedTokens > 0 })
        }

        @Test
        fun `has no plan when all memory is taken`() {
            assertNull(place(prompt(550_000, 551_000), List(10) { engine("e$it", heldTokens = 400_000) }))
        }
    }

    @Nested
    inner class `a prompt that the engines can't read before its deadline` {
        private val prompt = prompt(tokens = 900_000, totalTokens = 900_800)

        private fun isServable(engines: Int): Boolean {
            val idle = (1..engines).map { engine("engine-%02d".format(it)) }
            return placement.isServable(prompt, assertNotNull(place(prompt, idle)))
        }

        @Test
        fun `can't be served by four idle engines`() = assertFalse(isServable(engines = 4))

        @Test
        fun `can be served by as many as may read it together`() = assertTrue(isServable(engines = 20))
    }
}
