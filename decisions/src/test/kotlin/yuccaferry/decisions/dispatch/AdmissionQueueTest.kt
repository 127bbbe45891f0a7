package yuccaferry.decisions.dispatch

import org.junit.jupiter.api.Nested
import yuccaferry.decisions.routing.Rank
import yuccaferry.decisions.routing.Urgency
import yuccaferry.model.AccountName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class AdmissionQueueTest {
    private val queue = AdmissionQueue()
    private val start = MonotonicTime(1_000)

    private fun request(
        id: String,
        level: Int = 0,
        account: String = "a",
        arrival: MonotonicTime = start,
        onTimeMillis: Long = 1_000,
    ) = WaitingRequest(
        RequestId(id),
        Urgency(Rank(level), level, levels = 3),
        AccountName(account),
        arrival,
        onTimeUntil = arrival + onTimeMillis,
        servableUntil = arrival + 9_000,
        deadline = arrival + 10_000,
    )

    private fun add(vararg requests: WaitingRequest) = requests.forEach { queue.add(it, start) }

    private fun order(now: MonotonicTime) = queue.inOrder(now).map { it.id.value }

    @Nested
    inner class `the order` {
        @Test
        fun `is by urgency first`() {
            add(request("c", level = 2), request("b", level = 1), request("a", level = 0))
            assertEquals(listOf("a", "b", "c"), order(start))
        }

        @Test
        fun `is by the end of the time to be on time within a level`() {
            add(request("later", onTimeMillis = 900), request("sooner", onTimeMillis = 300))
            assertEquals(listOf("sooner", "later"), order(start))
        }

        @Test
        fun `puts those that can't be on time behind those that can`() {
            add(request("late", onTimeMillis = 300), request("on-time", onTimeMillis = 900))
            assertEquals(listOf("on-time", "late"), order(start + 500))
        }

        @Test
        fun `lets a request that has waited pass a more urgent one that arrives`() {
            add(request("old", level = 2))
            val now = start + 4_100
            queue.add(request("fresh", level = 1, arrival = now), now)
            assertEquals(listOf("old", "fresh"), order(now))
        }
    }

    @Nested
    inner class `a steady flow of urgent requests` {
        @Test
        fun `keeps the least urgent one out for less than two thirds of its time`() {
            val waiting = request("patient", level = 2)
            queue.add(waiting, start)
            var now = start
            while (queue.first(now) !== waiting) {
                now += 100
                queue.add(request("urgent-${now.millis}", arrival = now), now)
                queue.first(now)?.let { if (it !== waiting) queue.admit(it) }
                assertTrue(now - start < 6_600, "still waiting after ${now - start} ms")
            }
        }
    }

    @Nested
    inner class `an account with many requests` {
        @Test
        fun `doesn't keep another one waiting for more than two admissions`() {
            repeat(20) { add(request("flood-$it", account = "large", onTimeMillis = 500)) }
            queue.admit(checkNotNull(queue.first(start)))
            queue.admit(checkNotNull(queue.first(start)))
            add(request("single", account = "small", onTimeMillis = 900))
            val admitted = (1..2).map { checkNotNull(queue.first(start)).also { first -> queue.admit(first) }.id.value }
            assertTrue("single" in admitted, admitted.toString())
        }

        @Test
        fun `still gets half of the admissions`() {
            repeat(20) { add(request("flood-$it", account = "large", onTimeMillis = 500)) }
            repeat(20) { add(request("other-$it", account = "small-$it", onTimeMillis = 900)) }
            val admitted = (1..20).map { checkNotNull(queue.first(start)).also { first -> queue.admit(first) }.account?.value }
            assertEquals(10, admitted.count { it == "large" })
        }

        @Test
        fun `doesn't pass more urgent requests of other accounts`() {
            add(request("urgent", account = "large"), request("other", level = 1, account = "small"))
            queue.admit(request("before", account = "large"))
            assertEquals("urgent", queue.first(start)?.id?.value)
        }
    }

    @Nested
    inner class `a request behind others` {
        @Test
        fun `isn't due before them`() {
            val second = request("second", level = 1)
            add(request("first"), second)
            assertFalse(queue.isDue(second, start))
        }

        @Test
        fun `is due when it has been held for two fifths of its time`() {
            val second = request("second", onTimeMillis = 2_000)
            add(request("first"), second)
            assertFalse(queue.isDue(second, start + 3_900))
            assertTrue(queue.isDue(second, start + 4_100))
        }
    }

    @Nested
    inner class `when too many wait` {
        @Test
        fun `the last of the order leaves`() {
            repeat(64) { add(request("b-$it", level = 1)) }
            add(request("last", level = 2))
            repeat(63) { assertNull(queue.add(request("a-$it"), start)) }
            assertEquals("last", queue.add(request("one-more"), start)?.id?.value)
            assertEquals(128, queue.size)
        }
    }
}
