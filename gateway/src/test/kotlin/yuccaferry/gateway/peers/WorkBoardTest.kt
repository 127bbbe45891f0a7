package yuccaferry.gateway.peers

import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals

class WorkBoardTest {
    private val target = TargetId("t")
    private val board = WorkBoard()

    private fun at(millis: Long) = MonotonicTime(millis)

    private fun message(
        sequence: Long,
        active: Int,
        start: Long = 1,
    ) = WorkMessage("peer", start, sequence, listOf(TargetWork("t", active, 500, 1_000, 1)))

    @Test
    fun `sums own and peers' work`() {
        board.begin(Work(target, tokens = 200, isLong = false, readMillis = 30.0, start = at(0)))
        board.hear(message(sequence = 1, active = 3), at(0))
        val sum = board.sumAt(target, at(10))
        assertEquals(4, sum.active)
        assertEquals(1_200, sum.heldTokens)
        assertEquals(20.0 + 490.0, sum.readingMillis)
    }

    @Test
    fun `an older message of the same run changes nothing, a new run's does`() {
        board.hear(message(sequence = 5, active = 3), at(0))
        board.hear(message(sequence = 4, active = 9), at(1))
        assertEquals(3, board.sumAt(target, at(2)).active)
        board.hear(message(sequence = 1, active = 7, start = 2), at(3))
        assertEquals(7, board.sumAt(target, at(4)).active)
    }

    @Test
    fun `a silent peer's work is taken as ended`() {
        board.hear(message(sequence = 1, active = 3), at(0))
        assertEquals(0, board.sumAt(target, at(1_501)).active)
    }

    @Test
    fun `long work is told at once, short work may wait`() {
        val told = mutableListOf<Boolean>()
        board.onChange = { told += it }
        board.begin(Work(target, 1, isLong = true, readMillis = 1.0, start = at(0)))
        board.begin(Work(target, 1, isLong = false, readMillis = 1.0, start = at(0)))
        assertEquals(listOf(true, false), told)
    }
}
