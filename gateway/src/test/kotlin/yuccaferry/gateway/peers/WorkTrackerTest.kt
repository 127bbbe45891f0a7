package yuccaferry.gateway.peers

import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals

class WorkTrackerTest {
    private val target = TargetId("t")
    private val workTracker = WorkTracker()

    private fun at(millis: Long) = MonotonicTime(millis)

    private fun message(
        sequence: Long,
        active: Int,
        start: Long = 1,
    ) = WorkMessage("peer", start, sequence, listOf(TargetWork("t", active, 500, 1_000, 1)))

    @Test
    fun `adds up own and peers' work`() {
        workTracker.begin(Work(target, tokens = 200, isLong = false, prefillMillis = 30.0, start = at(0)))
        workTracker.receive(message(sequence = 1, active = 3), at(0))
        val totals = workTracker.totalsAt(target, at(10))
        assertEquals(4, totals.active)
        assertEquals(1_200, totals.heldTokens)
        assertEquals(20.0 + 490.0, totals.remainingPrefillMillis)
    }

    @Test
    fun `ignores an older message of the same run, but not one of a new run`() {
        workTracker.receive(message(sequence = 5, active = 3), at(0))
        workTracker.receive(message(sequence = 4, active = 9), at(1))
        assertEquals(3, workTracker.totalsAt(target, at(2)).active)
        workTracker.receive(message(sequence = 1, active = 7, start = 2), at(3))
        assertEquals(7, workTracker.totalsAt(target, at(4)).active)
    }

    @Test
    fun `stops counting the work of a peer that sends no messages`() {
        workTracker.receive(message(sequence = 1, active = 3), at(0))
        assertEquals(0, workTracker.totalsAt(target, at(1_501)).active)
    }

    @Test
    fun `reports changes of long work as urgent, of short work as not urgent`() {
        val urgency = mutableListOf<Boolean>()
        workTracker.onChange = { urgency += it }
        workTracker.begin(Work(target, 1, isLong = true, prefillMillis = 1.0, start = at(0)))
        workTracker.begin(Work(target, 1, isLong = false, prefillMillis = 1.0, start = at(0)))
        assertEquals(listOf(true, false), urgency)
    }
}
