package yuccaferry.telemetry

import yuccaferry.telemetry.LogGate.Passage
import kotlin.test.Test
import kotlin.test.assertEquals

class LogGateTest {
    private val gate = LogGate(linesPerSecond = 10.0, burstLines = 3.0)

    @Test
    fun `passes a burst and drops what goes beyond it`() {
        val passages = List(5) { gate.pass(nowMillis = 0) }
        assertEquals(List(3) { Passage.Passed(0) } + List(2) { Passage.Dropped }, passages)
    }

    @Test
    fun `tells with the next line how many were dropped`() {
        repeat(5) { gate.pass(nowMillis = 0) }
        assertEquals(Passage.Passed(droppedBefore = 2), gate.pass(nowMillis = 100))
        assertEquals(Passage.Passed(droppedBefore = 0), gate.pass(nowMillis = 200))
    }

    @Test
    fun `passes the steady rate`() {
        repeat(3) { gate.pass(nowMillis = 0) }
        val passed = (1..100).count { gate.pass(nowMillis = it * 50L) is Passage.Passed }
        assertEquals(50, passed)
    }
}
