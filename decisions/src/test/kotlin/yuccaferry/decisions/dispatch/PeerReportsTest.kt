package yuccaferry.decisions.dispatch

import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerReportsTest {
    private val reports = PeerReports()
    private val target = TargetId("t")
    private val run = Incarnation("1")
    private val start = MonotonicTime(10_000)

    private fun report(
        from: String,
        millis: Double,
    ) = reports.receive(DaemonName(from), listOf(TargetPenalty(target, run, millis)), start)

    private fun agreed(
        ownMillis: Double = 0.0,
        of: Incarnation = run,
        millisLater: Long = 0,
    ) = reports.agreedMillis(target, of, ownMillis, start + millisLater)

    @Test
    fun `a single daemon that may be cut off itself is not believed`() {
        report("a", 6_000.0)
        assertEquals(0.0, agreed())
    }

    @Test
    fun `two daemons are believed as far as they agree`() {
        report("a", 6_000.0)
        report("b", 900.0)
        assertEquals(900.0, agreed())
    }

    @Test
    fun `one daemon is believed as far as this one agrees`() {
        report("a", 6_000.0)
        assertEquals(400.0, agreed(ownMillis = 400.0))
    }

    @Test
    fun `a daemon that reports twice counts once`() {
        report("a", 6_000.0)
        report("a", 5_000.0)
        assertEquals(0.0, agreed())
    }

    @Test
    fun `reports expire and don't apply to a new run`() {
        listOf("a", "b").forEach { report(it, 900.0) }
        assertEquals(0.0, agreed(millisLater = 4_001))
        assertEquals(0.0, agreed(of = Incarnation("2")))
    }
}
