// Tests the figures that are computed from given outcomes.
package yuccaferry.load

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

private const val MILLI = 1_000_000L
private const val SECOND = 1_000 * MILLI

class SummaryTest {
    private val large = LoadAccount("large", "k1")
    private val label = RunLabel("length-aware", seed = 42, without = emptySet())

    @Nested
    inner class FirstTokens {
        @Test
        fun `are measured from the intended start, not from when the request was sent`() {
            val late = outcome(1, start = 5 * SECOND, sent = 7 * SECOND, first = 7 * SECOND + 100 * MILLI)
            val result = summaryOf(late)
            assertEquals(2_100.0, result.of(LengthClass.SHORT)!!.firstToken.p50, 5.0)
            assertEquals(2_000.0, result.startLagMillis)
        }

        @Test
        fun `of failed requests count as the longest time`() {
            val refused = outcome(1, start = SECOND, first = null, ending = Ending.Failed("no_capacity", "full"))
            val good = outcome(2, start = SECOND, first = SECOND + MILLI)
            val result = summaryOf(refused, good)
            assertEquals(130_000.0, result.of(LengthClass.SHORT)!!.firstToken.max, 200.0)
            assertEquals(listOf(ErrorCount("no_capacity", 1, "full")), result.errors)
        }

        @Test
        fun `of short prompts are separated by whether a long one was waiting`() {
            val long = outcome(1, start = 10 * SECOND, first = 20 * SECOND, tokens = 200_000)
            val beside = outcome(2, start = 15 * SECOND, first = 15 * SECOND + 40 * MILLI)
            val alone = outcome(3, start = 25 * SECOND, first = 25 * SECOND + 10 * MILLI)
            val result = summaryOf(long, beside, alone).besideLong
            assertEquals(40.0, result.beside.p95, 0.1)
            assertEquals(10.0, result.alone.p95, 0.1)
        }
    }

    @Nested
    inner class Phases {
        @Test
        fun `run from event to event`() {
            val events = listOf(TimedEvent.ZoneOut(30.0, "attica-b"), TimedEvent.ZoneIn(60.0, "attica-b"))
            val outcomes = listOf(5L, 31L, 32L, 61L).map { outcome(it.toInt(), it * SECOND, it * SECOND + MILLI) }
            val result = summarize(experiment(events = events), label, record(outcomes), null)
            assertEquals(listOf("start", "attica-b out", "attica-b in"), result.phases.map { it.name })
            assertEquals(listOf(1, 2, 1), result.phases.map { it.complete })
        }
    }

    @Nested
    inner class Bookings {
        @Test
        fun `are checked against the service's own count`() {
            val outcomes =
                listOf(
                    booking(1, Ending.Complete),
                    booking(2, Ending.Complete),
                    booking(3, Ending.Complete),
                    booking(4, Ending.Failed("ledger_unavailable", "", "not_run")),
                    booking(5, Ending.Failed("outcome_unknown", "", "unknown")),
                )
            val runs = mapOf("b1" to 1, "b2" to 2, "b4" to 1, "b5" to 1)
            val expected = BookingResult(sent = 5, confirmed = 3, ran = 4, duplicated = 1, lost = 1, falselyNotRun = 1, unknown = 1)
            assertEquals(expected, auditBookings(outcomes, runs))
        }

        private fun booking(
            number: Int,
            ending: Ending,
        ) = Outcome(PlannedBooking(number, 0, large, "b$number"), ending, 0, null, MILLI)
    }

    @Nested
    inner class Comparisons {
        @Test
        fun `give the gain over the first run`() {
            val slow = summaryOf(outcome(1, start = 0, first = 500 * MILLI))
            val fast = summaryOf(outcome(1, start = 0, first = 100 * MILLI))
            val line = comparisonOf(slow, listOf(fast)).lines().single { it.startsWith("first token p95, short") }
            assertContains(line, "x5.0")
        }

        @Test
        fun `warn when the loads differ`() {
            val one = summaryOf(outcome(1, start = 0, first = MILLI))
            assertContains(comparisonOf(one, listOf(one.copy(seed = 7))), "another load")
        }
    }

    @Nested
    inner class Reports {
        @Test
        fun `hold plots and tables and need no other file`() {
            val page = htmlReport(listOf(summaryOf(outcome(1, start = 0, first = MILLI))))
            assertEquals(3, "data:image/png;base64,".toRegex().findAll(page).count())
            assertContains(page, "first token, short")
            assertEquals(0, "https?://".toRegex().findAll(page).count())
        }
    }

    private fun summaryOf(vararg outcomes: Outcome) = summarize(experiment(), label, record(outcomes.toList()), null)

    private fun record(outcomes: List<Outcome>) = RunRecord(outcomes.map { it.request }, outcomes, emptyList(), GapRecorder())

    private fun outcome(
        number: Int,
        start: Long,
        first: Long?,
        sent: Long = start,
        tokens: Int = 1_000,
        ending: Ending = Ending.Complete,
    ) = Outcome(PlannedPrompt(number, start, large, tokens, 8, null), ending, sent, first, (first ?: sent) + MILLI)
}
