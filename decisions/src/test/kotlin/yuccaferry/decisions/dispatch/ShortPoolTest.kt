package yuccaferry.decisions.dispatch

import kotlin.test.Test
import kotlin.test.assertEquals

class ShortPoolTest {
    @Test
    fun `grows with the short requests`() {
        assertEquals(2, ShortPool.of(shortRequests = 0.0, engines = 39, slots = 10).size)
        assertEquals(16, ShortPool.of(shortRequests = 67.0, engines = 39, slots = 10).size)
    }

    @Test
    fun `leaves engines to long prompts however many short ones there are`() {
        assertEquals(28, ShortPool.of(shortRequests = 4_000.0, engines = 39, slots = 10).size)
    }

    @Test
    fun `has at least one engine`() {
        assertEquals(1, ShortPool.of(shortRequests = 9.0, engines = 1, slots = 10).size)
    }
}
