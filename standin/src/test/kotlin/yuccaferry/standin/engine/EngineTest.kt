// The simulated engine with a clock that the test advances.
package yuccaferry.standin.engine

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.unwrap
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val NANOS_PER_MILLI = 1_000_000L

class EngineTest {
    private var time = 0L
    private var crashes = 0

    private fun engine(settings: EngineSettings = EngineSettings(startWarm = true)) =
        Engine(
            settings,
            clock = { time },
            listener =
                object : EngineListener {
                    override fun crashed() {
                        crashes++
                    }
                },
        )

    private fun Engine.after(millis: Long) {
        advance()
        time += millis * NANOS_PER_MILLI
        advance()
    }

    private fun request(
        id: String,
        promptTokens: Int = 1_000,
        maxTokens: Int = 10,
        epoch: Long? = null,
        priority: Int = 0,
        deadlineMs: Long = 60_000,
        gangTokens: Long = 0,
    ) = CompletionRequest(
        model = "m",
        prompt = id.padEnd(4 * promptTokens, 'x'),
        maxTokens = maxTokens,
        requestId = id,
        epoch = epoch,
        priority = priority,
        deadlineMs = deadlineMs,
        gangTokens = gangTokens,
    )

    private fun Job.received() = generateSequence { output.tryReceive().getOrNull() }.toList()

    private fun Engine.heldTokens() = stats().kvHeldTokens

    private fun Engine.endings(id: String) = stats().requests.getValue(id).endings

    @Nested
    inner class `a cold engine` {
        private val cold = EngineSettings(coldRequests = 2, warmAfterRequests = 2, restartMs = 500)

        @Test
        fun `crashes above its request limit and restarts with a new incarnation`() {
            val engine = engine(cold)
            val before = engine.requests().incarnation
            val jobs = listOf("a", "b", "c").map { engine.submit(request(it)).unwrap() }
            assertEquals(1, crashes)
            assertTrue(jobs.all { it.received().last() == Output.Crashed })
            assertFalse(engine.available())
            engine.after(500)
            assertTrue(engine.available())
            assertTrue(engine.requests().incarnation != before)
            assertEquals(0, engine.heldTokens())
            assertEquals(3, engine.stats().maxColdRequests)
        }

        @Test
        fun `is warm after enough successful requests and then accepts more`() {
            val engine = engine(cold)
            listOf("a", "b").forEach { engine.submit(request(it)) }
            engine.after(1_000)
            assertTrue(engine.requests().warm)
            listOf("c", "d", "e").forEach { engine.submit(request(it)) }
            assertEquals(0, crashes)
        }

        @Test
        fun `a warm engine that turns cold keeps its incarnation and its requests`() {
            val engine = engine()
            val before = engine.requests().incarnation
            repeat(3) { engine.submit(request("r$it")) }
            engine.setFaults(EngineFaults(turnCold = true))
            assertEquals(before, engine.requests().incarnation)
            assertFalse(engine.requests().warm)
            assertEquals(0, crashes)
        }
    }

    @Nested
    inner class `KV memory` {
        private val small = EngineSettings(kvTokens = 2_000, startWarm = true)

        @Test
        fun `a request waits while it does not fit and runs when another ends`() {
            val engine = engine(small)
            engine.submit(request("a", promptTokens = 1_500))
            engine.submit(request("b", promptTokens = 1_500))
            engine.after(1)
            assertEquals(1_510, engine.heldTokens())
            assertEquals(listOf(1_510L, 0L), engine.requests().items.map { it.tokens })
            engine.after(1_000)
            assertEquals(listOf("finished"), engine.endings("a"))
            engine.after(1_000)
            assertEquals(listOf("finished"), engine.endings("b"))
            assertEquals(1_510, engine.stats().maxKvTokens)
            assertEquals(0, engine.heldTokens())
        }

        @Test
        fun `a request that can never fit is rejected`() {
            val rejection = engine(small).submit(request("a", promptTokens = 1_995)).getError()
            assertEquals(503, rejection?.status)
            assertEquals("out_of_memory", rejection?.code)
        }

        @Test
        fun `tokens held by a gang elsewhere take no memory here`() {
            val engine = engine(small)
            assertNull(engine.submit(request("a", promptTokens = 3_000, gangTokens = 2_500)).getError())
            engine.after(1)
            assertEquals(510, engine.heldTokens())
        }

        @Test
        fun `cancel releases the memory of a running request`() {
            val engine = engine(small)
            val job = engine.submit(request("a")).unwrap()
            engine.after(100)
            assertTrue(engine.cancel("a"))
            assertEquals(0, engine.heldTokens())
            assertEquals(Output.Ended("cancelled", "cancelled by its owner"), job.received().last())
            assertFalse(engine.cancel("a"))
        }

        @Test
        fun `a passed deadline releases the memory of a request that makes no progress`() {
            val engine = engine(small)
            engine.submit(request("a", deadlineMs = 200), stalled = true)
            engine.after(199)
            assertEquals(1_010, engine.heldTokens())
            engine.after(1)
            assertEquals(0, engine.heldTokens())
            assertEquals(listOf("deadline"), engine.endings("a"))
        }

        @Test
        fun `a segment is held until its gang is released`() {
            val engine = engine(small)
            engine.submit(SegmentRequest(requestId = "a", gangId = "g", text = "x".repeat(4_000)))
            engine.after(1_000)
            assertEquals(1_000, engine.heldTokens())
            assertEquals(1, engine.releaseGang("g"))
            assertEquals(0, engine.releaseGang("g"))
            assertEquals(0, engine.heldTokens())
        }
    }

    @Nested
    inner class `prefill` {
        private val slow = EngineSettings(startWarm = true, prefillTokensPerSecond = 10_000, chunkTokens = 1_000)

        @Test
        fun `an urgent request overtakes a long one at the next chunk`() {
            val engine = engine(slow)
            val long = engine.submit(request("long", promptTokens = 10_000, priority = 5)).unwrap()
            engine.after(150)
            val urgent = engine.submit(request("urgent", promptTokens = 1_000, maxTokens = 1, priority = 1)).unwrap()
            engine.after(150)
            assertEquals(listOf("finished"), engine.endings("urgent"))
            assertEquals(PieceText.piece("m", "urgent".padEnd(4_000, 'x'), 0), (urgent.received().first() as Output.Piece).text)
            assertEquals(emptyList(), long.received())
        }

        @Test
        fun `a cached prefix is not prefilled again`() {
            val engine = engine(slow)
            engine.submit(request("a", promptTokens = 5_000, maxTokens = 1))
            engine.after(500)
            val again = engine.submit(request("a", promptTokens = 5_000, maxTokens = 1)).unwrap()
            engine.after(50)
            assertEquals(Output.Finished(1, 5_000, cachedTokens = 19L * BLOCK_TOKENS), again.received().last())
        }
    }

    @Nested
    inner class `a slow engine` {
        @Test
        fun `has its normal rate as soon as the fault is removed`() {
            val engine = engine(EngineSettings(startWarm = true, decodeTokensPerSecond = 100))
            engine.submit(request("a", maxTokens = 10))
            engine.after(20)
            engine.setFaults(EngineFaults(slowFactor = 1_000.0))
            engine.after(1_000)
            assertEquals(emptyList(), engine.endings("a"))
            engine.setFaults(EngineFaults())
            engine.after(100)
            assertEquals(listOf("finished"), engine.endings("a"))
        }
    }

    @Nested
    inner class `fencing` {
        private val order = OrderRequest(epoch = 4, model = "m", version = "2")

        @Test
        fun `an epoch below the highest one seen is rejected`() {
            val engine = engine()
            engine.submit(request("a", epoch = 5))
            assertEquals("stale_epoch", engine.submit(request("b", epoch = 4)).getError()?.code)
            assertEquals(409, engine.order(order).getError()?.status)
            assertEquals(emptyList(), engine.stats().orders)
        }

        @Test
        fun `an engine without fencing applies an order with an old epoch`() {
            val engine = engine(EngineSettings(fencing = false))
            engine.order(OrderRequest(epoch = 5, model = "m", version = "1"))
            assertNull(engine.order(order).getError())
            assertEquals(
                "2",
                engine
                    .stats()
                    .orders
                    .last()
                    .version,
            )
        }
    }
}
