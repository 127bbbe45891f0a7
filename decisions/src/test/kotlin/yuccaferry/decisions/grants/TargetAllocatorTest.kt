package yuccaferry.decisions.grants

import org.junit.jupiter.api.Nested
import yuccaferry.model.AccountName
import yuccaferry.model.DaemonId
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TargetAllocatorTest {
    private val limits = TargetLimits(kvTokens = 1_000, coldRequests = 2, warmRequests = 8, longPrefills = 1, observable = true)
    private val allocator = TargetAllocator(TargetId("e1"), limits, windowMillis = 2_000)
    private var now = MonotonicTime(0)

    private fun request(
        id: String,
        hold: Long = 10,
        priority: Int = 0,
        account: String = "a",
        long: Boolean = false,
    ) = AllocationRequest(
        RequestId(id),
        DaemonId("d"),
        AccountName(account),
        hold,
        prefillTokens = hold,
        long,
        priority,
        weight = 1,
        timeLeftMillis = 60_000,
    )

    private fun submit(request: AllocationRequest) = allocator.request(request, now, until = now + 10_000)

    private fun observe(
        warm: Boolean,
        incarnation: String = "i1",
        vararg listed: String,
    ): List<GrantEffect> {
        val work = listed.map { ObservedWork(RequestId(it), DaemonId("d"), 10, prefillTokensLeft = 0, timeLeftMillis = 60_000) }
        return allocator.observe(Observation(Incarnation(incarnation), warm, work), queriedAt = now, now = now)
    }

    private fun granted(effects: List<GrantEffect>) = effects.filterIsInstance<GrantEffect.Grant>().map { it.request.value }

    @Nested
    inner class `a target whose state is not known` {
        @Test
        fun `gets nothing`() {
            assertEquals(listOf<GrantEffect>(GrantEffect.Deny(RequestId("r"), Denial.UNAVAILABLE)), submit(request("r")))
        }

        @Test
        fun `gets nothing after a failure until it is observed again`() {
            observe(warm = true)
            submit(request("r"))
            allocator.release(RequestId("r"), UseOutcome.TARGET_FAILED, now)
            now += 10_000
            assertEquals(listOf<GrantEffect>(GrantEffect.Deny(RequestId("s"), Denial.UNAVAILABLE)), submit(request("s")))
        }
    }

    @Nested
    inner class `a cold target` {
        @Test
        fun `gets no more than the cold limit, and the next request when one ends`() {
            observe(warm = false)
            assertEquals(listOf("a", "b"), granted(submit(request("a")) + submit(request("b")) + submit(request("c"))))
            assertEquals(listOf("c"), granted(allocator.release(RequestId("a"), UseOutcome.SUCCEEDED, now)))
        }

        @Test
        fun `that was warm falls back to the cold limit at once`() {
            observe(warm = true)
            repeat(20) {
                submit(request("warm$it"))
                allocator.release(RequestId("warm$it"), UseOutcome.SUCCEEDED, now)
            }
            now += 1
            observe(warm = false)
            assertEquals(listOf("a", "b"), granted(listOf("a", "b", "c").flatMap { submit(request(it)) }))
        }

        @Test
        fun `that restarted and reports that it is warm starts from the cold limit`() {
            observe(warm = true)
            repeat(20) {
                submit(request("warm$it"))
                allocator.release(RequestId("warm$it"), UseOutcome.SUCCEEDED, now)
            }
            now += 1
            observe(warm = true, incarnation = "i2")
            assertEquals(listOf("a", "b"), granted(listOf("a", "b", "c").flatMap { submit(request(it)) }))
        }
    }

    @Nested
    inner class `a warm target` {
        @Test
        fun `gets one more concurrent request for each success, up to the warm limit`() {
            observe(warm = true)
            repeat(20) {
                submit(request("r$it"))
                allocator.release(RequestId("r$it"), UseOutcome.SUCCEEDED, now)
            }
            assertEquals(8, granted((1..12).flatMap { submit(request("s$it")) }).size)
        }
    }

    @Nested
    inner class `memory` {
        @Test
        fun `is never granted twice`() {
            observe(warm = true)
            assertEquals(listOf("a"), granted(submit(request("a", hold = 700)) + submit(request("b", hold = 400))))
        }

        @Test
        fun `of failed work counts until the target no longer lists it`() {
            observe(warm = true)
            submit(request("a", hold = 700))
            now += 1
            allocator.release(RequestId("a"), UseOutcome.TARGET_FAILED, now)
            now += 1_000
            observe(warm = true, "i1", "a")
            assertEquals(emptyList(), granted(submit(request("b", hold = 400))))
            now += 1
            assertEquals(listOf("b"), granted(observe(warm = true)))
        }

        @Test
        fun `held by an unknown request counts too`() {
            observe(warm = true, "i1", "stranger")
            assertEquals(10, allocator.summary(now).heldTokens)
        }

        @Test
        fun `that exceeds the target's limit is denied at once`() {
            observe(warm = true)
            assertEquals(listOf<GrantEffect>(GrantEffect.Deny(RequestId("a"), Denial.TOO_LARGE)), submit(request("a", hold = 1_001)))
        }
    }

    @Nested
    inner class `the queue` {
        @Test
        fun `serves the most urgent request first`() {
            observe(warm = false)
            listOf("a", "b").forEach { submit(request(it)) }
            submit(request("later", priority = 20))
            submit(request("urgent", priority = 0))
            assertEquals(listOf("urgent"), granted(allocator.release(RequestId("a"), UseOutcome.SUCCEEDED, now)))
        }

        @Test
        fun `serves an account with few requests before one with many`() {
            observe(warm = false)
            listOf("a", "b").forEach { submit(request(it, account = "large")) }
            repeat(5) { submit(request("large$it", hold = 100, account = "large")) }
            submit(request("small", hold = 100, account = "small"))
            assertEquals(listOf("small"), granted(allocator.release(RequestId("a"), UseOutcome.SUCCEEDED, now)))
            assertEquals(listOf("large0"), granted(allocator.release(RequestId("b"), UseOutcome.SUCCEEDED, now)))
        }

        @Test
        fun `reserves memory for an overdue large request, and lets small ones overtake it`() {
            observe(warm = true)
            repeat(10) {
                submit(request("warm$it"))
                allocator.release(RequestId("warm$it"), UseOutcome.SUCCEEDED, now)
            }
            submit(request("running", hold = 500))
            submit(request("large", hold = 900, priority = 20))
            now += 4_000
            observe(warm = true, "i1", "running")
            assertEquals(emptyList(), granted(submit(request("medium", hold = 300))))
            assertEquals(listOf("small"), granted(submit(request("small", hold = 20))))
            assertEquals(listOf("large"), granted(allocator.release(RequestId("running"), UseOutcome.SUCCEEDED, now)))
        }

        @Test
        fun `denies a request at the end of its wait`() {
            observe(warm = false)
            listOf("a", "b", "c").forEach { submit(request(it)) }
            now += 10_000
            assertEquals(listOf<GrantEffect>(GrantEffect.Deny(RequestId("c"), Denial.FULL)), allocator.tick(now))
        }
    }

    @Nested
    inner class `a target taken out of service` {
        @Test
        fun `denies queued and new requests, and keeps running ones`() {
            observe(warm = false)
            listOf("a", "b", "c").forEach { submit(request(it)) }
            assertEquals(listOf<GrantEffect>(GrantEffect.Deny(RequestId("c"), Denial.NOT_IN_SERVICE)), allocator.setInService(false))
            assertEquals(listOf<GrantEffect>(GrantEffect.Deny(RequestId("d"), Denial.NOT_IN_SERVICE)), submit(request("d")))
            assertEquals(2, allocator.summary(now).running)
        }
    }

    @Nested
    inner class `any sequence of events` {
        /** The seeds make every run use the same sequences. */
        @Test
        fun `keeps requests and memory within the limits`() {
            for (seed in 1..200) runSequence(seed)
        }

        private fun runSequence(seed: Int) {
            val random = Random(seed)
            val target = TargetAllocator(TargetId("e"), limits, windowMillis = 2_000)
            val running = mutableMapOf<RequestId, Long>()
            val holds = mutableMapOf<RequestId, Long>()
            var time = MonotonicTime(0)
            var warm = false
            repeat(300) { step ->
                time += random.nextLong(1, 50)
                val effects =
                    when (random.nextInt(5)) {
                        0, 1 -> {
                            val request = request("$step", hold = random.nextLong(1, 500), priority = random.nextInt(3))
                            holds[request.id] = request.holdTokens
                            target.request(request, time, time + 1_000)
                        }

                        2 -> {
                            val ended = running.keys.randomOrNull(random)
                            ended?.let { running.remove(it) }
                            ended?.let { target.release(it, UseOutcome.SUCCEEDED, time) } ?: emptyList()
                        }

                        3 -> {
                            if (running.size <= limits.coldRequests) warm = random.nextBoolean()
                            val work = running.map { (id, hold) -> ObservedWork(id, DaemonId("d"), hold, 0, 60_000) }
                            target.observe(Observation(Incarnation("i"), warm, work), time, time)
                        }

                        else -> {
                            target.tick(time)
                        }
                    }
                effects.filterIsInstance<GrantEffect.Grant>().forEach { running[it.request] = holds.getValue(it.request) }
                val most = if (warm) limits.warmRequests else limits.coldRequests
                assertTrue(running.size <= most, "seed $seed step $step: ${running.size} running of $most")
                assertTrue(running.values.sum() <= limits.kvTokens, "seed $seed step $step: ${running.values.sum()} tokens")
            }
        }
    }
}
