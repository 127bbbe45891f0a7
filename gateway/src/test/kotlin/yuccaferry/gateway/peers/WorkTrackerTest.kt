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
        daemon: String = "peer",
        target: String = "t",
    ) = WorkMessage(daemon, start, sequence, listOf(TargetWork(target, active, 500, 1_000, 1)), validMillis = 1_500)

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
    fun `tells changes of long work from those of short work`() {
        val changes = mutableListOf<WorkChange>()
        workTracker.onChange = { changes += it }
        workTracker.begin(Work(target, 1, isLong = true, prefillMillis = 1.0, start = at(0)))
        workTracker.begin(Work(target, 1, isLong = false, prefillMillis = 1.0, start = at(0)))
        assertEquals(listOf(WorkChange.LONG, WorkChange.SHORT), changes)
    }

    @Test
    fun `replaces all of a peer's work by its next message`() {
        workTracker.receive(message(sequence = 1, active = 3), at(0))
        workTracker.receive(message(sequence = 2, active = 2, target = "u"), at(1))
        assertEquals(0, workTracker.totalsAt(target, at(2)).active)
        assertEquals(2, workTracker.totalsAt(TargetId("u"), at(2)).active)
    }

    @Test
    fun `reports a change once for work that is ended twice`() {
        val work = Work(target, 1, isLong = true, prefillMillis = 1.0, start = at(0))
        workTracker.begin(work)
        val changes = mutableListOf<WorkChange>()
        workTracker.onChange = { changes += it }
        repeat(2) { workTracker.end(work) }
        assertEquals(listOf(WorkChange.LONG), changes)
        assertEquals(0, workTracker.ownCount)
    }

    @Test
    fun `sends far peers only long work`() {
        workTracker.begin(Work(target, 1, isLong = true, prefillMillis = 1.0, start = at(0)))
        workTracker.begin(Work(target, 1, isLong = false, prefillMillis = 1.0, start = at(0)))
        assertEquals(listOf(2), workTracker.ownWork(at(0)).map { it.active })
        assertEquals(listOf(1), workTracker.ownLongWork(at(0)).map { it.active })
    }

    @Test
    fun `scales the short requests of the daemons that are known to the whole zone`() {
        workTracker.knownShare = 0.5
        workTracker.begin(Work(target, 1, isLong = false, prefillMillis = 1.0, start = at(0)))
        workTracker.receive(message(sequence = 1, active = 4), at(0))
        assertEquals(8.0, workTracker.shortRequests(at(1)))
        assertEquals(2.0, workTracker.shortRequests(at(2_000)))
    }
}
