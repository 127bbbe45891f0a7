package yuccaferry.decisions.dispatch

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShortPoolTest {
    private fun poolFor(
        shortRequests: Double,
        engines: Int = 39,
    ) = ShortPool.of(shortRequests, engines, slots = 10)

    @Test
    fun `grows with the short requests`() {
        assertTrue(poolFor(shortRequests = 100.0).size > poolFor(shortRequests = 40.0).size)
    }

    @Test
    fun `has slots to spare for three times as many short requests as are known`() {
        listOf(0.0, 10.0, 40.0).forEach { known -> assertTrue(poolFor(known).size * 10 >= 3 * known + 30, "with $known known") }
    }

    @Test
    fun `leaves engines to long prompts however many short ones there are`() {
        assertEquals(28, poolFor(shortRequests = 4_000.0).size)
    }

    @Test
    fun `has at least one engine`() {
        assertEquals(1, poolFor(shortRequests = 9.0, engines = 1).size)
    }

    @Test
    fun `is assumed to be larger in a zone whose short requests are not known`() {
        val pool = poolFor(shortRequests = 40.0)
        assertTrue(pool.assumedSizeOf(39) > pool.size)
        assertTrue(poolFor(shortRequests = 4_000.0).assumedSizeOf(39) < 39)
    }
}
