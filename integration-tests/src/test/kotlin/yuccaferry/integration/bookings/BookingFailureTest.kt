/*
 * Sends bookings through real daemons while one step is held, cut or lost, and compares the results that callers receive
 * with the number of runs that the service counted for each key.
 */
package yuccaferry.integration.bookings

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private const val ANSWER_BOUND_SECONDS = 30L
private const val NANOS_PER_MILLI = 1_000_000

class BookingFailureTest {
    private val fleet = BookingFleet.shared.apply { clearFaults() }

    /** The daemon that receives the faults, and one that keeps running. */
    private val first = fleet.awaitReady(holdsShard = false)
    private val second = fleet.awaitReady(holdsShard = true, except = first)

    @AfterEach
    fun clearFaults() = fleet.clearFaults()

    private fun CompletableFuture<BookingResult>.answer(): BookingResult = get(ANSWER_BOUND_SECONDS, TimeUnit.SECONDS)

    private fun refused(
        code: String,
        execution: String,
    ) = BookingResult.Refused(code, execution)

    private fun awaitRun(key: String) = eventually("$key runs") { fleet.service.runs(key) == 1 }

    /**
     * Makes a booking without a fault and waits until its outcome is written. A daemon that has just started waits for its retention
     * lease and claims nothing, and one that has just handed its shard over may not know yet who decides on the service's grants.
     */
    private fun awaitBooking(daemon: BookingDaemon) {
        assertIs<BookingResult.Success>(daemon.book(key = null).answer())
        eventually("the outcome is written") { daemon.pending() == 0 }
    }

    /** Holds the store's answer to the next claim. */
    private fun holdAnswersOfStore(daemon: BookingDaemon) {
        awaitBooking(daemon)
        daemon.storeProxy.setFaults("""{"one_way":"down"}""")
    }

    private val unknown = refused("outcome_unknown", "unknown")

    @Nested
    inner class `the same key` {
        @Test
        fun `at once through two daemons runs once and answers both`() {
            fleet.service.setFaults("""{"delay_before_ms":300}""")
            val answers = listOf(first.book("twice"), second.book("twice")).map { it.answer() as BookingResult.Success }
            assertEquals(1, answers.map { it.receipt }.toSet().size)
            assertEquals(listOf(false, true), answers.map { it.replayed }.sorted())
            assertEquals(1, fleet.service.runs("twice"))
        }

        @Test
        fun `again after the answer gets the stored one, and another body is refused`() {
            val answer = first.book("again").answer() as BookingResult.Success
            assertEquals<BookingResult>(answer.copy(replayed = true), second.book("again").answer())
            assertEquals<BookingResult>(refused("key_reused", "not_run"), second.book("again", body = "6 EUR").answer())
            assertEquals(1, fleet.service.runs("again"))
        }
    }

    @Nested
    inner class `a daemon that is killed` {
        @Test
        fun `before its claim takes effect leaves no run behind`() {
            awaitBooking(first)
            val claims = first.claims()
            first.storeProxy.setFaults("""{"one_way":"up"}""")
            val result = first.book("killed-before-claim")
            eventually("the claim is on its way") {
                check(!result.isDone) { "answered before its claim: ${result.get()}" }
                first.claims() > claims
            }
            first.process.signal(Signal.KILL)
            assertEquals(BookingResult.Nothing, result.answer())
            assertEquals(0, fleet.service.runs("killed-before-claim"))
            assertIs<BookingResult.Success>(second.book("killed-before-claim").answer())
            assertEquals(1, fleet.service.runs("killed-before-claim"))
        }

        @Test
        fun `between claim and dispatch leaves a key that never runs`() {
            holdAnswersOfStore(first)
            val result = first.book("killed-after-claim", deadlineMillis = 2_000)
            fleet.awaitRecord("killed-after-claim", "claimed")
            first.process.signal(Signal.KILL)
            assertEquals(BookingResult.Nothing, result.answer())
            assertEquals<BookingResult>(unknown, second.book("killed-after-claim", deadlineMillis = 3_000).answer())
            assertEquals(0, fleet.service.runs("killed-after-claim"))
        }

        @Test
        fun `after its dispatch is not followed by a second run`() {
            fleet.service.setFaults("""{"delay_after_ms":2000}""")
            val result = first.book("killed-after-dispatch", deadlineMillis = 2_000)
            awaitRun("killed-after-dispatch")
            first.process.signal(Signal.KILL)
            assertEquals(BookingResult.Nothing, result.answer())
            assertEquals<BookingResult>(unknown, second.book("killed-after-dispatch", deadlineMillis = 3_000).answer())
            assertEquals(1, fleet.service.runs("killed-after-dispatch"))
        }

        @Test
        fun `before its outcome is written is not followed by a second run`() {
            fleet.service.setFaults("""{"delay_after_ms":500}""")
            val result = first.book("killed-before-outcome", deadlineMillis = 2_000)
            awaitRun("killed-before-outcome")
            first.storeProxy.setFaults("""{"cut":true}""")
            assertIs<BookingResult.Success>(result.answer())
            first.process.signal(Signal.KILL)
            assertEquals<BookingResult>(unknown, second.book("killed-before-outcome", deadlineMillis = 3_000).answer())
            assertEquals(1, fleet.service.runs("killed-before-outcome"))
        }
    }

    @Nested
    inner class `a daemon that is frozen` {
        @Test
        fun `between claim and dispatch past its window does not dispatch, and frees the key`() {
            holdAnswersOfStore(first)
            val result = first.book("frozen", deadlineMillis = 1_000)
            fleet.awaitRecord("frozen", "claimed")
            val claimed = System.nanoTime()
            first.process.signal(Signal.STOP)
            first.storeProxy.clearFaults()
            eventually("the window is over") { System.nanoTime() - claimed > 1_200 * NANOS_PER_MILLI }
            first.process.signal(Signal.CONT)
            assertIs<BookingResult.Refused>(result.answer())
            fleet.awaitRecord("frozen", "not_run")
            assertEquals(0, fleet.service.runs("frozen"))
            assertIs<BookingResult.Success>(second.book("frozen").answer())
            assertEquals(1, fleet.service.runs("frozen"))
        }
    }

    @Nested
    inner class `the key-value service` {
        @Test
        fun `losing answers after writes took effect costs no run and no answer`() {
            val lost = fleet.keyValue.stats().lostAnswers
            fleet.keyValue.setFaults("""{"lose_answers":3}""")
            val keys = (1..5).map { "lost-$it" }
            keys.forEach { assertIs<BookingResult.Success>(first.book(it).answer()) }
            assertEquals(lost + 3, fleet.keyValue.stats().lostAnswers)
            keys.forEach { fleet.awaitRecord(it, "answered") }
            assertEquals(keys.map { 1 }, keys.map { fleet.service.runs(it) })
        }

        @Test
        fun `being out before the claim means that nothing runs, and the key runs later`() {
            fleet.keyValue.setFaults("""{"outage":true}""")
            val withoutKey = first.book(null, deadlineMillis = 1_000)
            val withKey = first.book("out-before", deadlineMillis = 1_000)
            assertTrue(withoutKey.answer().notRun, "${withoutKey.answer()}")
            assertEquals("unknown", (withKey.answer() as BookingResult.Refused).execution)
            assertEquals(0, fleet.service.runs("out-before"))
            fleet.keyValue.clearFaults()
            assertIs<BookingResult.Success>(second.book("out-before").answer())
            assertEquals(1, fleet.service.runs("out-before"))
        }

        @Test
        fun `being out between dispatch and outcome delays only the record`() {
            fleet.service.setFaults("""{"delay_after_ms":300}""")
            val result = first.book("out-after")
            awaitRun("out-after")
            fleet.keyValue.setFaults("""{"outage":true}""")
            val answer = result.answer() as BookingResult.Success
            eventually("the outcome waits") { first.pending() == 1 }
            fleet.keyValue.clearFaults()
            fleet.awaitRecord("out-after", "answered")
            assertEquals<BookingResult>(answer.copy(replayed = true), second.book("out-after").answer())
            assertEquals(1, fleet.service.runs("out-after"))
        }
    }

    @Nested
    inner class `the connection to the service` {
        @Test
        fun `cut after the request went out leaves the outcome unknown for good`() {
            fleet.service.setFaults("""{"break_before_answer":true,"key":"cut","times":1}""")
            assertEquals<BookingResult>(refused("target_failed", "unknown"), first.book("cut").answer())
            assertEquals<BookingResult>(unknown, second.book("cut").answer())
            assertEquals(1, fleet.service.runs("cut"))
        }

        @Test
        fun `refused means not run, and the key runs later`() {
            fleet.listService(closedAddress())
            val keys = generateSequence(1) { it + 1 }.map { "refused-$it" }.iterator()
            var key = ""
            try {
                eventually("the daemon calls the closed address") {
                    key = keys.next()
                    first.book(key).answer() == refused("target_failed", "not_run")
                }
            } finally {
                fleet.listService(fleet.serviceProxy.address)
            }
            assertEquals(0, fleet.service.runs(key))
            eventually("the daemon calls the service again") { second.book(key).answer() is BookingResult.Success }
            assertEquals(1, fleet.service.runs(key))
        }
    }
}
