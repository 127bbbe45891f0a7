// Checks bookings through one and several daemons, with each failure that the ledger handles.
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.unwrap
import com.github.michaelbull.result.unwrapError
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.TargetError
import yuccaferry.decisions.ledger.BookingState
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

@OptIn(ExperimentalCoroutinesApi::class)
class BookingLedgerTest {
    private fun inFleet(
        settings: LedgerSettings = LedgerSettings(),
        test: suspend TestScope.(TestFleet) -> Unit,
    ) = runTest { test(TestFleet(this, settings)) }

    private suspend fun TestDaemon.book(
        fleet: TestFleet,
        key: String = "k",
        booking: Booking = fleet.booking(key),
        dispatch: suspend () -> DispatchOutcome = { fleet.answer(key) },
    ): BookingResult = request { run(booking, dispatch) }.await()

    private fun BookingResult.codeAndExecution() = unwrapError().let { "${it.code} ${it.execution}" }

    private fun BookingResult.body() = unwrap().answer.body.decodeToString()

    /** Applies [fault] to the daemon's first call after its lease is granted, and to no other call. */
    private fun firstWrite(fault: Fault): (TestDaemon) -> Fault {
        var calls = 0
        return { if (++calls == 2) fault else Fault.None() }
    }

    @Nested
    inner class `a first arrival` {
        @Test
        fun `runs once at the cost of two writes and a shared lease`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                repeat(5) { assertEquals("receipt", daemon.book(fleet, "k$it").body()) }
                daemon.ledger.drain()
                val steps = daemon.telemetry.counts.mapKeys { it.key.substringAfter(' ') }
                assertEquals(mapOf("lease" to 1, "claim" to 5, "outcome" to 5), steps)
            }

        @Test
        fun `is recorded also when the caller disconnects`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                val service = HeldService(fleet)
                val caller = daemon.request { run(fleet.booking("k")) { service.call("k") } }
                service.reached.await()
                caller.cancel()
                service.release.complete(Unit)
                daemon.ledger.drain()
                assertIs<BookingState.Answered>(fleet.record().state)
            }

        /** Guards against an error in the dispatch that left the caller without an answer and the record claimed for good. */
        @Test
        fun `has an unknown outcome recorded after an error in the dispatch`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                val result = daemon.book(fleet) { throw NoClassDefFoundError("decoder") }
                assertEquals("TARGET_FAILED UNKNOWN", result.codeAndExecution())
                daemon.ledger.drain()
                assertIs<BookingState.Unknown>(fleet.record().state)
            }

        @Test
        fun `is answered by its deadline and recorded later`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                val late =
                    daemon.book(fleet) {
                        delay(20_000)
                        fleet.answer("k")
                    }
                assertEquals("DEADLINE_EXCEEDED UNKNOWN", late.codeAndExecution())
                assertEquals(10_000, fleet.clock.now().millis)
                daemon.ledger.drain()
                assertIs<BookingState.Answered>(fleet.record().state)
            }

        @Test
        fun `is refused when the daemon has its maximum of unfinished bookings`() =
            inFleet(LedgerSettings(maxPending = 1)) { fleet ->
                val daemon = fleet.daemon()
                val service = HeldService(fleet)
                daemon.request { run(fleet.booking("a")) { service.call("a") } }
                service.reached.await()
                assertEquals(
                    "LEDGER_UNAVAILABLE NOT_RUN",
                    daemon.book(fleet, booking = fleet.booking("b", KeyOrigin.DAEMON)).codeAndExecution(),
                )
                service.release.complete(Unit)
                daemon.ledger.drain()
                assertEquals("receipt", daemon.book(fleet, "b").body())
            }
    }

    @Nested
    inner class `the same key again` {
        @Test
        fun `at once through two daemons runs once and answers both`() =
            inFleet { fleet ->
                val service = HeldService(fleet)
                val first = fleet.daemon().request { run(fleet.booking("k")) { service.call("k") } }
                val second = fleet.daemon().request { run(fleet.booking("k")) { service.call("k") } }
                service.reached.await()
                service.release.complete(Unit)
                assertEquals(listOf("receipt", "receipt"), listOf(first.await().body(), second.await().body()))
                assertEquals(listOf(false, true), listOf(first, second).map { it.await().unwrap().replayed }.sorted())
                assertEquals(1, fleet.runs["k"])
            }

        @Test
        fun `after the answer gets the stored one`() =
            inFleet { fleet ->
                fleet.daemon().book(fleet) { fleet.answer("k", "first") }
                assertEquals("first", fleet.daemon().book(fleet) { fleet.answer("k", "second") }.body())
                assertEquals(1, fleet.runs["k"])
            }

        @Test
        fun `with another body is refused`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                daemon.book(fleet)
                assertEquals("KEY_REUSED NOT_RUN", daemon.book(fleet, booking = fleet.booking("k", body = "6 EUR")).codeAndExecution())
            }

        @Test
        fun `after an answer too large to keep is answered that it ran`() =
            inFleet(LedgerSettings(maxStoredAnswerBytes = 6)) { fleet ->
                val daemon = fleet.daemon()
                assertEquals("receipt", daemon.book(fleet).body())
                assertEquals("OUTCOME_UNKNOWN RAN", daemon.book(fleet).codeAndExecution())
            }

        @Test
        fun `never runs over a record that can't be read`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                daemon.book(fleet)
                daemon.ledger.drain()
                val key = fleet.store.keys().single()
                fleet.store.swap(key, fleet.store.get(key)!!.revision, "{}", null)
                assertEquals("OUTCOME_UNKNOWN UNKNOWN", daemon.book(fleet).codeAndExecution())
            }
    }

    @Nested
    inner class `a write whose answer is lost` {
        @Test
        fun `is recognised as the writer's own claim`() =
            inFleet { fleet ->
                assertEquals("receipt", fleet.daemon(firstWrite(Fault.AnswerLost(0))).book(fleet).body())
                assertEquals(1, fleet.runs["k"])
            }

        @Test
        fun `is sent again when it had no effect`() =
            inFleet { fleet ->
                assertEquals("receipt", fleet.daemon(firstWrite(Fault.AnswerLost(null))).book(fleet).body())
                assertEquals(1, fleet.runs["k"])
            }

        @Test
        fun `never leads to a dispatch when it stays in doubt, and frees the key later`() =
            inFleet { fleet ->
                var calls = 0
                val daemon =
                    fleet.daemon {
                        calls++
                        if (calls == 1 ||
                            fleet.clock.now().millis > 20_000
                        ) {
                            Fault.None()
                        } else {
                            Fault.AnswerLost(if (calls == 2) 15_000 else null)
                        }
                    }
                assertEquals("LEDGER_UNAVAILABLE UNKNOWN", daemon.book(fleet).codeAndExecution())
                assertEquals(null, fleet.runs["k"])
                daemon.ledger.drain()
                assertEquals(BookingState.NotRun, fleet.record().state)
                assertEquals("receipt", fleet.daemon().book(fleet).body())
            }

        @Test
        fun `of an outcome is not repeated once it is found`() =
            inFleet { fleet ->
                var calls = 0
                val daemon = fleet.daemon { if (++calls == 3) Fault.AnswerLost(0) else Fault.None() }
                daemon.book(fleet)
                daemon.ledger.drain()
                assertEquals(4, calls)
                assertIs<BookingState.Answered>(fleet.record().state)
            }
    }

    @Nested
    inner class `an outage of the store` {
        @Test
        fun `before the claim is reported as not run for a daemon's key and as unknown for a caller's`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                daemon.outage = true
                assertEquals(
                    "LEDGER_UNAVAILABLE NOT_RUN",
                    daemon.book(fleet, booking = fleet.booking("k", KeyOrigin.DAEMON)).codeAndExecution(),
                )
                assertEquals(
                    "LEDGER_UNAVAILABLE UNKNOWN",
                    daemon.book(fleet, booking = fleet.booking("k", KeyOrigin.CALLER)).codeAndExecution(),
                )
                assertEquals(emptyMap(), fleet.runs)
            }

        @Test
        fun `between dispatch and outcome keeps the outcome until it is written`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                val result =
                    daemon.book(fleet) {
                        daemon.outage = true
                        fleet.answer("k")
                    }
                assertEquals("receipt", result.body())
                val drain = daemon.request { drain() }
                advanceTimeBy(60_000)
                assertEquals(false, drain.isCompleted)
                daemon.outage = false
                drain.await()
                assertEquals("receipt", fleet.daemon().book(fleet).body())
                assertEquals(1, fleet.runs["k"])
            }
    }

    @Nested
    inner class `a daemon that dies` {
        @Test
        fun `after its claim leaves the outcome unknown`() =
            inFleet { fleet ->
                val daemon = fleet.daemon { Fault.None(delayMillis = 100) }
                daemon.request { run(fleet.booking("k")) { fleet.answer("k") } }
                advanceTimeBy(150)
                daemon.freeze()
                advanceTimeBy(100)
                daemon.kill()
                assertEquals("OUTCOME_UNKNOWN UNKNOWN", fleet.daemon().book(fleet).codeAndExecution())
                assertEquals(emptyMap(), fleet.runs)
            }

        @Test
        fun `after its dispatch is never followed by a second run`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                val service = HeldService(fleet)
                daemon.request { run(fleet.booking("k")) { service.call("k") } }
                service.reached.await()
                daemon.kill()
                assertEquals("OUTCOME_UNKNOWN UNKNOWN", fleet.daemon().book(fleet).codeAndExecution())
                assertEquals(1, fleet.runs["k"])
            }
    }

    @Nested
    inner class `a daemon frozen between claim and dispatch` {
        private suspend fun TestScope.freezeAfterClaim(
            fleet: TestFleet,
            frozenMillis: Long,
            meanwhile: suspend () -> Unit,
        ): BookingResult {
            val daemon = fleet.daemon { Fault.None(delayMillis = 100) }
            val caller = daemon.request { run(fleet.booking("k")) { fleet.answer("k") } }
            advanceTimeBy(150)
            daemon.freeze()
            advanceTimeBy(frozenMillis)
            meanwhile()
            daemon.unfreeze()
            val result = caller.await()
            daemon.ledger.drain()
            return result
        }

        @Test
        fun `does not dispatch past the claim's window and frees the key`() =
            inFleet { fleet ->
                val result = freezeAfterClaim(fleet, frozenMillis = 5_000) { runCurrent() }
                assertEquals("DEADLINE_EXCEEDED NOT_RUN", result.codeAndExecution())
                assertEquals(emptyMap(), fleet.runs)
                assertEquals("receipt", fleet.daemon().book(fleet).body())
            }

        @Test
        fun `adds no second run after its record expired and another daemon ran the booking`() =
            inFleet(LedgerSettings(retentionSeconds = 60, leaseSeconds = 1)) { fleet ->
                freezeAfterClaim(fleet, frozenMillis = 62_000) { assertEquals("receipt", fleet.daemon().book(fleet).body()) }
                assertEquals(1, fleet.runs["k"])
            }
    }

    @Nested
    inner class `a dispatch that fails` {
        @Test
        fun `before any byte was sent is reported as not run and may run again`() =
            inFleet { fleet ->
                val failed = fleet.daemon().book(fleet) { DispatchOutcome.Failed(TargetError.NotSent("refused")) }
                assertEquals("TARGET_FAILED NOT_RUN", failed.codeAndExecution())
                assertEquals("receipt", fleet.daemon().book(fleet).body())
            }

        @Test
        fun `after bytes were sent is unknown, then and later`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                val cut =
                    daemon.book(fleet) {
                        fleet.answer("k")
                        DispatchOutcome.Failed(TargetError.Broken("cut"))
                    }
                assertEquals("TARGET_FAILED UNKNOWN", cut.codeAndExecution())
                assertEquals("OUTCOME_UNKNOWN UNKNOWN", daemon.book(fleet).codeAndExecution())
                assertEquals(1, fleet.runs["k"])
            }

        @Test
        fun `with an exception is unknown`() =
            inFleet { fleet -> assertEquals("TARGET_FAILED UNKNOWN", fleet.daemon().book(fleet) { error("fault") }.codeAndExecution()) }
    }

    @Nested
    inner class `a refusal before the claim` {
        private val full = Refusal(RefusalCode.NO_CAPACITY, "full", Execution.NOT_RUN)

        private suspend fun TestDaemon.refused(fleet: TestFleet) = request { refuse(fleet.booking("k"), full) }.await()

        @Test
        fun `says not run when the ledger has no run`() =
            inFleet { fleet -> assertEquals("NO_CAPACITY NOT_RUN", fleet.daemon().refused(fleet).codeAndExecution()) }

        @Test
        fun `gives the stored answer when an earlier request ran`() =
            inFleet { fleet ->
                fleet.daemon().book(fleet)
                assertEquals("receipt", fleet.daemon().refused(fleet).body())
            }

        @Test
        fun `does not say not run when the ledger can't be read`() =
            inFleet { fleet ->
                val daemon = fleet.daemon()
                daemon.outage = true
                assertEquals("NO_CAPACITY UNKNOWN", daemon.refused(fleet).codeAndExecution())
            }
    }
}
