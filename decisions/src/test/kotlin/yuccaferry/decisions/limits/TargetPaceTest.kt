package yuccaferry.decisions.limits

import org.junit.jupiter.api.Nested
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class TargetPaceTest {
    private val target = TargetId("t")
    private val run = Incarnation("1")
    private val start = MonotonicTime(10_000)
    private val pace = TargetPace()

    private fun TargetPace.begin(
        run: Incarnation = this@TargetPaceTest.run,
        slots: Int = 8,
        active: Int = 0,
        readyAt: MonotonicTime = start,
    ) = begin(target, run, slots, active, start, readyAt)

    private fun TargetPace.allowed(now: MonotonicTime = start) = allowed(target, run, now)

    private fun TargetPace.answer(
        times: Int = 1,
        sentAt: MonotonicTime = start,
        now: MonotonicTime = start,
    ) = (1..times).map { recordOnTime(target, run, sentAt, now) }.last()

    private fun TargetPace.fail(
        sentAt: MonotonicTime = start,
        now: MonotonicTime = start,
    ) = recordTrouble(target, run, sentAt, now)

    private fun TargetPace.tell(
        other: TargetPace,
        from: String = "peer",
        now: MonotonicTime = start,
    ) = other.receive(DaemonName(from), reports(now), now)

    @Nested
    inner class `a target that has started` {
        @Test
        fun `is allowed a few requests by its slots`() {
            assertEquals(PaceChange(PaceChangeKind.STARTED, target, run, allowed = 2), pace.begin(slots = 8))
            assertEquals(2, pace.allowed())
            assertEquals(1, TargetPace().also { it.begin(slots = 2) }.allowed())
        }

        @Test
        fun `has no limit if it processes one request at a time`() {
            assertNull(pace.begin(slots = 1))
            assertNull(pace.allowed())
        }

        @Test
        fun `doubles its limit with each generation of answers in time, and loses it at its slots`() {
            pace.begin(slots = 8)
            assertNull(pace.answer())
            assertEquals(4, pace.answer()?.allowed)
            assertNull(pace.answer(times = 3))
            assertEquals(PaceChange(PaceChangeKind.RELEASED, target, run, allowed = 8), pace.answer())
            assertNull(pace.allowed())
        }

        @Test
        fun `is not limited again in the same run right after it proved itself`() {
            pace.begin(slots = 8)
            pace.answer(times = 6)
            assertNull(pace.begin(slots = 8))
            assertNull(pace.allowed())
        }

        @Test
        fun `is limited anew in its next run, and evidence of the earlier one doesn't count`() {
            pace.begin()
            pace.answer(times = 2)
            pace.begin(run = Incarnation("2"))
            assertEquals(2, pace.allowed(target, Incarnation("2"), start))
            assertNull(pace.answer(times = 4))
            assertNull(pace.fail())
            assertEquals(2, pace.allowed(target, Incarnation("2"), start))
        }

        @Test
        fun `starts with half of the requests that it has already`() {
            assertEquals(3, pace.begin(slots = 8, active = 6)?.allowed)
        }
    }

    @Nested
    inner class `a target in trouble` {
        @Test
        fun `is allowed half as many requests, and one at least`() {
            pace.begin(slots = 16)
            assertEquals(PaceChange(PaceChangeKind.LOWERED, target, run, allowed = 2), pace.fail(now = start + 10))
            assertEquals(1, pace.fail(sentAt = start + 20, now = start + 30)?.allowed)
            assertNull(pace.fail(sentAt = start + 40, now = start + 50))
            assertEquals(1, pace.allowed(start + 50))
        }

        @Test
        fun `counts requests that failed together once`() {
            pace.begin(slots = 16)
            repeat(4) { pace.fail(sentAt = start, now = start + 10) }
            assertEquals(2, pace.allowed(start + 10))
        }

        @Test
        fun `proves nothing by answers to requests from before the limit was lowered`() {
            pace.begin(slots = 8)
            pace.fail(now = start + 10)
            assertNull(pace.answer(times = 8, sentAt = start + 5, now = start + 20))
            assertEquals(1, pace.allowed(start + 20))
            assertEquals(2, pace.answer(sentAt = start + 15, now = start + 30)?.allowed)
        }

        @Test
        fun `that answers late now and then starts each generation from none`() {
            pace.begin(slots = 8)
            repeat(20) {
                val at = start + 100L * it
                pace.answer(sentAt = at, now = at + 10)
                pace.fail(sentAt = at, now = at + 20)
            }
            assertTrue(assertNotNull(pace.allowed(start + 2_000)) <= 2)
        }
    }

    @Nested
    inner class `requests from before the limit began` {
        @Test
        fun `say nothing of a target that has recovered`() {
            pace.begin(slots = 16)
            assertNull(pace.fail(sentAt = start + -1, now = start + 10))
            assertNull(pace.answer(times = 8, sentAt = start + -1, now = start + 10))
            assertEquals(4, pace.allowed(start + 10))
        }
    }

    @Nested
    inner class `without evidence` {
        @Test
        fun `the limit is lifted after some seconds`() {
            pace.begin()
            assertEquals(2, pace.allowed(start + 4_999))
            assertNull(pace.allowed(start + 5_000))
            assertEquals(listOf(PaceChangeKind.RELEASED), pace.expire(start + 5_000).map { it.kind })
            assertTrue(pace.isEmpty)
        }

        @Test
        fun `it is kept until the target may get work`() {
            pace.begin(readyAt = start + 3_000)
            assertEquals(2, pace.allowed(start + 7_900))
            assertNull(pace.allowed(start + 8_000))
        }

        @Test
        fun `daemons that repeat what they were told don't keep it up`() {
            val peers = List(3) { TargetPace() }
            peers[0].begin()
            for (millis in 0L..20_000L step 500L) {
                for ((index, peer) in peers.withIndex()) peer.tell(peers[(index + 1) % peers.size], "d$index", start + millis)
                peers.forEach { it.expire(start + millis) }
                if (millis >= 5_000) assertTrue(peers.all { it.allowed(start + millis) == null }, "limited after $millis ms")
            }
        }

        @Test
        fun `a target that is slow for good is not limited for good`() {
            pace.begin()
            for (millis in 0L until 20_000L step 500L) pace.fail(sentAt = start + millis, now = start + millis)
            assertEquals(1, pace.allowed(start + 19_999))
            assertNull(pace.allowed(start + 20_000))
        }
    }

    @Nested
    inner class `several daemons` {
        private val peers = List(20) { TargetPace() }

        /** Each daemon tells all others. */
        private fun exchange(now: MonotonicTime) =
            peers.forEachIndexed { from, sender -> peers.forEach { if (it !== sender) sender.tell(it, "d$from", now) } }

        @Test
        fun `lift the limit together although each received one answer at most`() {
            peers.forEach { it.begin(slots = 8) }
            for (index in 0 until 6) {
                peers[index].answer(now = start + 100L * index)
                exchange(start + 100L * index)
            }
            assertTrue(peers.all { it.allowed(start + 600) == null })
        }

        @Test
        fun `count an answer once however often it is told`() {
            peers.forEach { it.begin(slots = 8) }
            peers[0].answer()
            repeat(10) { exchange(start) }
            assertTrue(peers.all { it.allowed() == 2 })
        }

        @Test
        fun `lower the limit once when several see it fail at the same time`() {
            peers.forEach { it.begin(slots = 32) }
            peers.forEach { it.fail(sentAt = start, now = start + 10) }
            exchange(start + 20)
            assertTrue(peers.all { it.allowed(start + 20) == 4 })
        }

        @Test
        fun `hold to the lower limit when one lowers it while another raises it`() {
            peers.forEach { it.begin(slots = 32) }
            peers[0].fail(now = start + 10)
            peers[1].answer(times = 8, now = start + 10)
            exchange(start + 20)
            assertTrue(peers.all { it.allowed(start + 20) == 4 })
        }

        @Test
        fun `limit a target of which they only heard`() {
            peers[0].begin()
            peers[0].tell(peers[1])
            assertEquals(2, peers[1].allowed())
            assertNull(peers[1].allowed(target, Incarnation("2"), start))
        }

        @Test
        fun `that saw the start late take over how far the others are`() {
            peers[0].begin()
            peers[0].answer(times = 6)
            peers[1].begin()
            peers[0].tell(peers[1])
            assertNull(peers[1].allowed())
        }

        @Test
        fun `keep the limit of the current run when an earlier one is told`() {
            peers[0].begin(run = Incarnation("0"))
            peers[1].begin()
            peers[0].tell(peers[1])
            assertEquals(2, peers[1].allowed())
        }

        @Test
        fun `tell each other of a bounded number of targets`() {
            repeat(500) { pace.begin(TargetId("t$it"), run, 8, active = 0, start) }
            assertEquals(TargetPace.MAX_REPORTS, pace.reports(start).size)
        }
    }
}
