/*
 * Bookings through real daemons while each step is held, cut or lost. What callers are told is compared with
 * the service's own count of runs for each key.
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
    private val fleet = BookingFleet.shared.apply { heal() }

    /** The daemon that is disturbed, and one that goes on. */
    private val first = fleet.awaitReady(holdsSeat = false)
    private val second = fleet.awaitReady(holdsSeat = true, except = first)

    @AfterEach
    fun heal() = fleet.heal()

    private fun CompletableFuture<Told>.answer(): Told = get(ANSWER_BOUND_SECONDS, TimeUnit.SECONDS)

    private fun refused(
        code: String,
        execution: String,
    ) = Told.Refused(code, execution)

    private fun awaitRun(key: String) = eventually("$key runs") { fleet.desk.runs(key) == 1 }

    /** Holds the answer to the claim; a daemon that has just started would wait for its retention lease instead and claim nothing. */
    private fun holdAnswersOfStore(daemon: BookingDaemon) {
        assertIs<Told.Success>(daemon.book(key = null).answer())
        daemon.storeProxy.faults("""{"one_way":"down"}""")
    }

    private val unknown = refused("outcome_unknown", "unknown")

    @Nested
    inner class `the same key` {
        @Test
        fun `at once through two daemons runs once and answers both`() {
            fleet.desk.faults("""{"delay_before_ms":300}""")
            val answers = listOf(first.book("twice"), second.book("twice")).map { it.answer() as Told.Success }
            assertEquals(1, answers.map { it.receipt }.toSet().size)
            assertEquals(listOf(false, true), answers.map { it.replayed }.sorted())
            assertEquals(1, fleet.desk.runs("twice"))
        }

        @Test
        fun `again after the answer gets the stored one, and another body is refused`() {
            val answer = first.book("again").answer() as Told.Success
            assertEquals<Told>(answer.copy(replayed = true), second.book("again").answer())
            assertEquals<Told>(refused("key_reused", "not_run"), second.book("again", body = "6 EUR").answer())
            assertEquals(1, fleet.desk.runs("again"))
        }
    }

    @Nested
    inner class `a daemon that is killed` {
        @Test
        fun `before its claim takes effect leaves no run behind`() {
            first.storeProxy.faults("""{"one_way":"up"}""")
            val told = first.book("killed-before-claim")
            eventually("the claim is on its way") { first.pending() == 1 }
            first.process.signal(Signal.KILL)
            assertEquals(Told.Nothing, told.answer())
            assertEquals(0, fleet.desk.runs("killed-before-claim"))
            assertIs<Told.Success>(second.book("killed-before-claim").answer())
            assertEquals(1, fleet.desk.runs("killed-before-claim"))
        }

        @Test
        fun `between claim and dispatch leaves a key that never runs`() {
            holdAnswersOfStore(first)
            val told = first.book("killed-after-claim", deadlineMillis = 2_000)
            fleet.awaitRecord("killed-after-claim", "claimed")
            first.process.signal(Signal.KILL)
            assertEquals(Told.Nothing, told.answer())
            assertEquals<Told>(unknown, second.book("killed-after-claim", deadlineMillis = 3_000).answer())
            assertEquals(0, fleet.desk.runs("killed-after-claim"))
        }

        @Test
        fun `after its dispatch is not followed by a second run`() {
            fleet.desk.faults("""{"delay_after_ms":2000}""")
            val told = first.book("killed-after-dispatch", deadlineMillis = 2_000)
            awaitRun("killed-after-dispatch")
            first.process.signal(Signal.KILL)
            assertEquals(Told.Nothing, told.answer())
            assertEquals<Told>(unknown, second.book("killed-after-dispatch", deadlineMillis = 3_000).answer())
            assertEquals(1, fleet.desk.runs("killed-after-dispatch"))
        }

        @Test
        fun `before its outcome is written is not followed by a second run`() {
            fleet.desk.faults("""{"delay_after_ms":500}""")
            val told = first.book("killed-before-outcome", deadlineMillis = 2_000)
            awaitRun("killed-before-outcome")
            first.storeProxy.faults("""{"cut":true}""")
            assertIs<Told.Success>(told.answer())
            first.process.signal(Signal.KILL)
            assertEquals<Told>(unknown, second.book("killed-before-outcome", deadlineMillis = 3_000).answer())
            assertEquals(1, fleet.desk.runs("killed-before-outcome"))
        }
    }

    @Nested
    inner class `a daemon that is frozen` {
        @Test
        fun `between claim and dispatch past its window does not dispatch, and frees the key`() {
            val start = System.nanoTime()
            holdAnswersOfStore(first)
            val told = first.book("frozen", deadlineMillis = 1_000)
            fleet.awaitRecord("frozen", "claimed")
            first.process.signal(Signal.STOP)
            first.storeProxy.heal()
            eventually("the window is over") { System.nanoTime() - start > 1_200 * NANOS_PER_MILLI }
            first.process.signal(Signal.CONT)
            assertIs<Told.Refused>(told.answer())
            fleet.awaitRecord("frozen", "not_run")
            assertEquals(0, fleet.desk.runs("frozen"))
            assertIs<Told.Success>(second.book("frozen").answer())
            assertEquals(1, fleet.desk.runs("frozen"))
        }
    }

    @Nested
    inner class `the key-value service` {
        @Test
        fun `losing answers after writes took effect costs no run and no answer`() {
            val lost = fleet.keyValue.stats().lostAnswers
            fleet.keyValue.faults("""{"lose_answers":3}""")
            val keys = (1..5).map { "lost-$it" }
            keys.forEach { assertIs<Told.Success>(first.book(it).answer()) }
            assertEquals(lost + 3, fleet.keyValue.stats().lostAnswers)
            keys.forEach { fleet.awaitRecord(it, "answered") }
            assertEquals(keys.map { 1 }, keys.map { fleet.desk.runs(it) })
        }

        @Test
        fun `being out before the claim means that nothing runs, and the key runs later`() {
            fleet.keyValue.faults("""{"outage":true}""")
            val withoutKey = first.book(null, deadlineMillis = 1_000)
            val withKey = first.book("out-before", deadlineMillis = 1_000)
            assertTrue(withoutKey.answer().notRun, "${withoutKey.answer()}")
            assertEquals("unknown", (withKey.answer() as Told.Refused).execution)
            assertEquals(0, fleet.desk.runs("out-before"))
            fleet.keyValue.heal()
            assertIs<Told.Success>(second.book("out-before").answer())
            assertEquals(1, fleet.desk.runs("out-before"))
        }

        @Test
        fun `being out between dispatch and outcome delays only the record`() {
            fleet.desk.faults("""{"delay_after_ms":300}""")
            val told = first.book("out-after")
            awaitRun("out-after")
            fleet.keyValue.faults("""{"outage":true}""")
            val answer = told.answer() as Told.Success
            eventually("the outcome waits") { first.pending() == 1 }
            fleet.keyValue.heal()
            fleet.awaitRecord("out-after", "answered")
            assertEquals<Told>(answer.copy(replayed = true), second.book("out-after").answer())
            assertEquals(1, fleet.desk.runs("out-after"))
        }
    }

    @Nested
    inner class `the connection to the service` {
        @Test
        fun `cut after the request went out leaves the outcome unknown for good`() {
            fleet.desk.faults("""{"break_before_answer":true,"times":1}""")
            assertEquals<Told>(refused("target_failed", "unknown"), first.book("cut").answer())
            assertEquals<Told>(unknown, second.book("cut").answer())
            assertEquals(1, fleet.desk.runs("cut"))
        }

        @Test
        fun `refused means not run, and the key runs later`() {
            fleet.listDesk(closedAddress())
            val keys = generateSequence(1) { it + 1 }.map { "refused-$it" }.iterator()
            var key = ""
            try {
                eventually("the daemon calls the closed address") {
                    key = keys.next()
                    first.book(key).answer() == refused("target_failed", "not_run")
                }
            } finally {
                fleet.listDesk(fleet.deskProxy.address)
            }
            assertEquals(0, fleet.desk.runs(key))
            eventually("the daemon calls the service again") { second.book(key).answer() is Told.Success }
            assertEquals(1, fleet.desk.runs(key))
        }
    }
}
