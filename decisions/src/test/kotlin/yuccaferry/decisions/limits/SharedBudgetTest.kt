package yuccaferry.decisions.limits

import yuccaferry.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SharedBudgetTest {
    private fun at(millis: Long) = MonotonicTime(millis)

    @Test
    fun `repeats are limited to a fraction of the window's requests plus the reserve`() {
        val budget = RepeatBudget(ratio = 0.2, windowMillis = 10_000)
        repeat(50) { budget.recordFirst(at(0)) }
        assertEquals(12, (1..100).count { budget.take(at(1), reserve = 2.0) })
    }

    @Test
    fun `requests that have left the window allow no repeats`() {
        val budget = RepeatBudget(ratio = 0.2, windowMillis = 10_000)
        repeat(50) { budget.recordFirst(at(0)) }
        assertEquals(2, (1..100).count { budget.take(at(10_001), reserve = 2.0) })
    }

    @Test
    fun `the shares of all daemons together stay within the total budget in every window`() {
        val daemons = List(20) { RepeatBudget(ratio = 0.2, windowMillis = 10_000) }
        val taken = mutableListOf<Long>()
        for (time in 0L..30_000L step 50) {
            daemons.forEach { daemon -> if (daemon.take(at(time), reserve = 236.0 / daemons.size)) taken += time }
        }
        assertTrue(taken.all { from -> taken.count { it in from until from + 10_000 } <= 236 })
    }

    @Test
    fun `a cold target gets no more than its rate in any second`() {
        val limit = ColdLimit()
        val sends = (0L..5_000L step 10).filter { limit.allows(at(it), 2.9).also { ok -> if (ok) limit.record(at(it)) } }
        assertTrue(sends.all { from -> sends.count { it in from until from + 1_000 } <= 2 })
        assertEquals(10, sends.size)
    }
}
