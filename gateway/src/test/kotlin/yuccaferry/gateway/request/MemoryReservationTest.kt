package yuccaferry.gateway.request

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.MemoryUse
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.view.Target
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class MemoryReservationTest {
    private val loop = EventLoop()
    private val target =
        Target(
            id = TargetId("i-1"),
            incarnation = Incarnation("1"),
            service = ServiceName("s"),
            address = InetSocketAddress("127.0.0.1", 1),
            zone = ZoneName("z"),
            slots = 4,
            isLeaving = false,
            coldUntil = MonotonicTime(0),
        )

    private class Memory(
        private val result: suspend () -> ReserveResult,
    ) : EngineMemory {
        val requested = CompletableDeferred<Unit>()
        val released = CompletableDeferred<String>()
        var holdMillis = 0L

        override suspend fun reserve(
            target: Target,
            id: String,
            tokens: Long,
            holdMillis: Long,
        ): ReserveResult {
            this.holdMillis = holdMillis
            requested.complete(Unit)
            return result()
        }

        override suspend fun release(
            target: Target,
            id: String,
        ) = released.complete(id)

        override suspend fun useOf(
            target: Target,
            id: String,
        ) = MemoryUse.IN_USE

        override suspend fun isRunning(target: Target) = true
    }

    private fun reservationOf(memory: Memory) = MemoryReservation(loop, memory, target, "r-i-1", 1_000)

    private fun test(action: suspend () -> Unit) = runBlocking(loop.scope.coroutineContext) { withTimeout(WAIT_MILLIS) { action() } }

    @AfterTest
    fun close() = loop.close()

    @Test
    fun `releases the memory when it is closed`() =
        test {
            val memory = Memory { ReserveResult.HELD }
            val reservation = reservationOf(memory)
            assertEquals(ReserveResult.HELD, reservation.open())
            assertFalse(memory.released.isCompleted)
            reservation.close()
            assertEquals("r-i-1", memory.released.await())
        }

    @Test
    fun `expires before memory without a request counts as leaked`() =
        test {
            val memory = Memory { ReserveResult.HELD }
            reservationOf(memory).apply { open() }.close()
            assertTrue(memory.holdMillis < LEAK_MILLIS)
        }

    @Test
    fun `releases the memory when no answer tells whether it was reserved`() =
        test {
            val memory = Memory { ReserveResult.UNKNOWN }
            assertEquals(ReserveResult.UNKNOWN, reservationOf(memory).open())
            assertEquals("r-i-1", memory.released.await())
        }

    @Test
    fun `releases the memory when it is cancelled before the answer`() =
        test {
            val memory = Memory { awaitCancellation() }
            val opening = loop.scope.launch { reservationOf(memory).open() }
            memory.requested.await()
            opening.cancelAndJoin()
            assertEquals("r-i-1", memory.released.await())
        }

    @Test
    fun `releases nothing when the engine refuses`() =
        test {
            val memory = Memory { ReserveResult.REFUSED }
            assertEquals(ReserveResult.REFUSED, reservationOf(memory).open())
            assertFalse(memory.released.isCompleted)
        }

    /** Guards against a reservation that counts as unreleased for good, for whose release a daemon waits when it leaves. */
    @Nested
    inner class `if a call to the engine throws` {
        private val released = CompletableDeferred<Unit>()
        private val timing = ReservationTiming(hold = 200, reportAge = 100, checkPause = 5, renewalMargin = 150, retryPause = 5)

        /** An engine that grants reservations, and fails when it is told to release one. */
        private inner class FailingMemory(
            private val failsToRelease: Boolean,
            private val orders: Memory = Memory { ReserveResult.HELD },
        ) : EngineMemory by orders {
            override suspend fun release(
                target: Target,
                id: String,
            ): Boolean = if (failsToRelease) throw StackOverflowError() else orders.release(target, id)

            override suspend fun useOf(
                target: Target,
                id: String,
            ): MemoryUse = error("no report")
        }

        private fun reservationOf(
            memory: EngineMemory,
            lastSign: suspend () -> MonotonicTime? = { null },
        ) = MemoryReservation(loop, memory, target, "r-i-1", 1_000, timing, { released.complete(Unit) }, lastSign)

        @Test
        fun `at the release, the reservation still ends`() =
            test {
                reservationOf(FailingMemory(failsToRelease = true)).apply { open() }.close()
                released.await()
            }

        @Test
        fun `at the renewal, the memory is still released`() =
            test {
                val reservation = reservationOf(FailingMemory(failsToRelease = false)).apply { open() }
                delay(timing.hold)
                reservation.close()
                released.await()
            }

        @Test
        fun `at the last sign of its use, the memory is still released`() =
            test {
                val reservation = reservationOf(FailingMemory(failsToRelease = false)) { throw StackOverflowError() }.apply { open() }
                delay(timing.hold)
                reservation.close()
                released.await()
            }
    }

    @Nested
    inner class `while the request runs` {
        /** An engine that grants all reservations; records how long each is to last, and reports [use]. */
        private inner class RecordingMemory(
            private val use: MemoryUse,
        ) : EngineMemory {
            val holds = Channel<Long>(Channel.UNLIMITED)

            override suspend fun reserve(
                target: Target,
                id: String,
                tokens: Long,
                holdMillis: Long,
            ): ReserveResult {
                holds.send(holdMillis)
                return ReserveResult.HELD
            }

            override suspend fun release(
                target: Target,
                id: String,
            ) = true

            override suspend fun useOf(
                target: Target,
                id: String,
            ) = use

            override suspend fun isRunning(target: Target) = true
        }

        private val timing = ReservationTiming(hold = 200, reportAge = 100, checkPause = 5, renewalMargin = 150)

        private fun reservationOf(
            memory: EngineMemory,
            lastSign: suspend () -> MonotonicTime?,
        ) = MemoryReservation(loop, memory, target, "r-i-1", 1_000, timing, lastSign = lastSign)

        @Test
        fun `renews for as long as the age of the last sign allows`() =
            test {
                val memory = RecordingMemory(MemoryUse.UNUSED)
                val signAge = 40L
                val reservation = reservationOf(memory) { loop.now() + -signAge }
                reservation.open()
                assertEquals(timing.hold, memory.holds.receive())
                assertTrue(memory.holds.receive() in 1..timing.hold - signAge)
                reservation.close()
            }

        @Test
        fun `renews for less when only the engine reports the use, which may have ended`() =
            test {
                val memory = RecordingMemory(MemoryUse.IN_USE)
                val reservation = reservationOf(memory) { null }
                reservation.open()
                assertEquals(timing.hold, memory.holds.receive())
                assertTrue(memory.holds.receive() in 1..timing.hold - timing.reportAge)
                reservation.close()
            }

        @Test
        fun `asks the engine when the last sign is old`() =
            test {
                val memory = RecordingMemory(MemoryUse.IN_USE)
                val begin = loop.now() + -timing.reportAge
                val reservation = reservationOf(memory) { begin }
                reservation.open()
                assertEquals(timing.hold, memory.holds.receive())
                assertTrue(memory.holds.receive() > 0)
                reservation.close()
            }
    }

    @Nested
    inner class `when an order gets no answer` {
        /** An engine that executes the unanswered reservation late: after the first release. */
        private inner class LateMemory(
            private val answers: ArrayDeque<suspend () -> ReserveResult>,
        ) : EngineMemory {
            val lateOrderSent = CompletableDeferred<Unit>()
            val freed = CompletableDeferred<Unit>()
            private var releases = 0
            private var isHeld = false

            override suspend fun reserve(
                target: Target,
                id: String,
                tokens: Long,
                holdMillis: Long,
            ): ReserveResult {
                if (answers.size == 1) lateOrderSent.complete(Unit)
                return answers.removeFirst()()
            }

            override suspend fun release(
                target: Target,
                id: String,
            ): Boolean {
                if (isHeld) freed.complete(Unit)
                isHeld = ++releases == 1
                return true
            }

            override suspend fun useOf(
                target: Target,
                id: String,
            ) = MemoryUse.IN_USE

            override suspend fun isRunning(target: Target) = true
        }

        private val timing = ReservationTiming(hold = 50, reportAge = 10, checkPause = 5, renewalMargin = 45, lateReleaseInterval = 5)

        private fun reservationOf(memory: LateMemory) = MemoryReservation(loop, memory, target, "r-i-1", 1_000, timing)

        @Test
        fun `releases again the memory that a late renewal reserves`() =
            test {
                val memory = LateMemory(ArrayDeque(listOf({ ReserveResult.HELD }, { awaitCancellation() })))
                val reservation = reservationOf(memory)
                reservation.open()
                memory.lateOrderSent.await()
                reservation.close()
                memory.freed.await()
            }

        @Test
        fun `releases again the memory that a late first order reserves`() =
            test {
                val memory = LateMemory(ArrayDeque(listOf({ ReserveResult.UNKNOWN })))
                reservationOf(memory).open()
                memory.freed.await()
            }

        @Test
        fun `releases more often than memory counts as leaked`() {
            val timing = ReservationTiming()
            assertTrue(timing.lateReleaseInterval < LEAK_MILLIS)
            assertTrue(timing.lateOrder > LATE_ORDER_MILLIS)
        }
    }

    private companion object {
        const val WAIT_MILLIS = 10_000L

        /** Milliseconds after which the users count memory without a request as leaked (`free-ms` of the sites). */
        const val LEAK_MILLIS = 4_000L

        /** Milliseconds after which engines of the sites were seen to execute an order late. */
        const val LATE_ORDER_MILLIS = 12_000L
    }
}
