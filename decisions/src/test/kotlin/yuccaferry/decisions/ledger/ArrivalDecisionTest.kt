// Decisions on keys that have a record in the ledger, and on conflicting writes.
package yuccaferry.decisions.ledger

import org.junit.jupiter.api.Nested
import yuccaferry.model.AccountName
import yuccaferry.model.AttemptId
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotEquals

class ArrivalDecisionTest {
    private val fingerprint = Fingerprint.of("POST", "/pledges", "5 EUR".toByteArray())
    private val claim = Claim(AttemptId("a1"), DaemonId("d1"), dispatchWindowMillis = 3_000, lifeMillis = 9_000)
    private val claimed = BookingRecord.claimed(fingerprint, claim)

    private fun decide(state: BookingState) = decideArrival(claimed.copy(state = state), fingerprint)

    private fun answered(body: ByteArray) =
        BookingState.Answered(storedAnswer(status = 201, headers = listOf(AnswerHeader("x", "1")), body = body, maxBytes = 10))

    @Nested
    inner class `a second arrival` {
        @Test
        fun `may claim the booking again only when the record says not run`() {
            assertEquals(ArrivalDecision.ClaimAgain, decide(BookingState.NotRun))
        }

        @Test
        fun `waits for a claim however old it is`() {
            assertEquals(ArrivalDecision.Wait(9_000), decide(BookingState.Claimed))
        }

        @Test
        fun `gets the unknown outcome with its reason`() {
            assertEquals(ArrivalDecision.Unknown("cut"), decide(BookingState.Unknown("cut")))
        }

        @Test
        fun `gets the stored answer`() {
            val replay = assertIs<ArrivalDecision.Replay>(decide(answered("done".toByteArray())))
            assertEquals(201, replay.status)
            assertEquals(listOf(AnswerHeader("x", "1")), replay.headers)
            assertEquals("done", replay.body.bytes.decodeToString())
        }

        @Test
        fun `gets the status and size of a large answer that was not stored`() {
            val decision = assertIs<ArrivalDecision.AnswerNotKept>(decide(answered(ByteArray(9))))
            assertEquals(201, decision.status)
            assertEquals(9, decision.body.bytes)
        }

        @Test
        fun `is refused when the key belongs to another request`() {
            for (other in listOf(
                Fingerprint.of("PUT", "/pledges", "5 EUR".toByteArray()),
                Fingerprint.of("POST", "/pledges/", "5 EUR".toByteArray()),
                Fingerprint.of("POST", "/pledges", "6 EUR".toByteArray()),
                Fingerprint.of("POST", "/pledges5", " EUR".toByteArray()),
            )) {
                assertEquals(ArrivalDecision.KeyReused, decideArrival(claimed.copy(state = BookingState.NotRun), other))
            }
        }
    }

    @Nested
    inner class `a conflicting write` {
        private val end = claimed.ended(AttemptId("a2"), BookingState.NotRun)

        @Test
        fun `of a claim recognises only its own claim`() {
            assertEquals(ClaimConflict.OwnClaim, claimConflict(claimed, claim))
            assertEquals(ClaimConflict.Other, claimConflict(claimed, claim.copy(attempt = AttemptId("b1"))))
            assertEquals(ClaimConflict.Other, claimConflict(end, claim))
        }

        @Test
        fun `of an end recognises its own end and its own claim`() {
            assertEquals(EndConflict.Done, endConflict(end, end))
            assertEquals(EndConflict.OverwriteClaim, endConflict(claimed, end))
            assertEquals(EndConflict.Superseded, endConflict(end.copy(attempt = AttemptId("b1")), end))
            assertEquals(EndConflict.Superseded, endConflict(null, end))
        }

        @Test
        fun `can't end a record that has ended`() {
            assertFailsWith<IllegalArgumentException> { end.ended(AttemptId("a3"), BookingState.Unknown("late")) }
        }
    }

    @Nested
    inner class `a dispatch` {
        @Test
        fun `starts only before the end of the claim's dispatch window`() {
            assertEquals(true, mayDispatch(now = MonotonicTime(99), dispatchBefore = MonotonicTime(100)))
            assertEquals(false, mayDispatch(now = MonotonicTime(100), dispatchBefore = MonotonicTime(100)))
        }
    }

    @Nested
    inner class `a record's key` {
        private fun key(
            account: String,
            service: String,
            key: String,
        ) = LedgerKey.of(AccountName(account), ServiceName(service), key)

        @Test
        fun `differs by account, service and key`() {
            val names = setOf(key("a", "s", "k"), key("b", "s", "k"), key("a", "t", "k"), key("a", "s", "l"), key("as", "", "k"))
            assertEquals(5, names.size)
            assertEquals(key("a", "s", "k"), key("a", "s", "k"))
        }

        @Test
        fun `does not contain the caller's idempotency key`() {
            assertEquals("yuccaferry/ledger/a/s/", key("a", "s", "secret").value.substringBeforeLast('/') + "/")
            assertNotEquals(key("a", "s", "secret").value.substringAfterLast('/'), "secret")
        }
    }
}
