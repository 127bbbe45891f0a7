package yuccaferry.gateway.peers

import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.dispatch.TargetPenalty
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.view.Target
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TargetPacesTest {
    private val now = MonotonicTime(50_000)
    private val health = TargetHealth()
    private val reports = PeerReports()
    private val events = mutableListOf<String>()
    private val telemetry =
        object : Telemetry by NoTelemetry {
            override fun event(
                name: String,
                vararg fields: Field,
                severity: Severity,
            ) {
                events += name
            }
        }
    private val paces = TargetPaces(WorkTracker(), health, reports, telemetry)
    private val first = target("1")
    private val second = target("2")

    private fun target(
        run: String,
        coldUntil: MonotonicTime = Target.NOT_COLD,
    ) = Target(
        TargetId("t"),
        Incarnation(run),
        ServiceName("s"),
        InetSocketAddress("127.0.0.1", 1),
        ZoneName("z"),
        slots = 8,
        isLeaving = false,
        coldUntil,
    )

    private fun isLimited(
        target: Target,
        at: MonotonicTime = now,
    ) = !paces.allows(target, at) { target.slots - 1 }

    private fun restart() = paces.observe(first, second, now)

    private fun end(
        end: AttemptEnd,
        wasTimed: Boolean = false,
    ) = paces.recordEnd(second, end, wasTimed, sentAt = now, now = now + 10)

    @Nested
    inner class `a listed target` {
        @Test
        fun `is not limited when it is there and warm at the first listing`() {
            paces.observe(before = null, first, now)
            assertFalse(isLimited(first))
        }

        @Test
        fun `is limited when it is listed with another run`() {
            restart()
            assertTrue(isLimited(second))
            assertTrue(paces.allows(second, now) { 1 })
            assertFalse(paces.allows(second, now) { 2 })
        }

        @Test
        fun `is not limited when only something else about it changes`() {
            paces.observe(first, target("1"), now)
            assertFalse(isLimited(first))
        }

        @Test
        fun `is limited when it is cold, and for some seconds after that`() {
            val cold = target("1", coldUntil = now + 3_000)
            paces.observe(before = null, cold, now)
            assertTrue(isLimited(cold, now + 7_900))
            assertFalse(isLimited(cold, now + 8_000))
        }

        @Test
        fun `is not limited twice for the same cold time`() {
            val cold = target("1", coldUntil = now + 30_000)
            paces.observe(first, cold, now)
            repeat(2) { paces.recordFirstEvent(cold, 50.0, now, now + 40) }
            repeat(4) { paces.recordFirstEvent(cold, 50.0, now, now + 40) }
            paces.reports(now + 20_000)
            paces.observe(cold, target("1", coldUntil = now + 30_001), now + 20_000)
            assertFalse(isLimited(cold, now + 20_000))
        }
    }

    @Nested
    inner class `a target that failed` {
        private fun fail() = health.recordFailure(first.id, first.incarnation, TargetHealth.UNREACHABLE_MILLIS, now)

        private fun peerReportsFailure() =
            reports.receive(DaemonName("p"), listOf(TargetPenalty(first.id, first.incarnation, TargetHealth.UNREACHABLE_MILLIS)), now)

        @Test
        fun `is limited from its first answer on when another daemon saw it fail too`() {
            fail()
            peerReportsFailure()
            assertFalse(isLimited(first))
            paces.recordFirstEvent(first, 50.0, now, now + 40)
            assertTrue(isLimited(first))
        }

        @Test
        fun `is not limited when only one daemon saw it fail`() {
            fail()
            paces.recordFirstEvent(first, 50.0, now, now + 40)
            assertFalse(isLimited(first))
        }

        @Test
        fun `is limited after a plain call too`() {
            fail()
            peerReportsFailure()
            paces.recordEnd(first, AttemptEnd.Answered(200), wasTimed = false, now, now + 10)
            assertTrue(isLimited(first))
        }
    }

    @Nested
    inner class `a limited target` {
        @Test
        fun `is allowed one request after it failed, rejected one, or was late`() {
            val signals =
                listOf<() -> Unit>(
                    { end(AttemptEnd.TimedOut) },
                    { end(AttemptEnd.Broken("reset")) },
                    { end(AttemptEnd.Rejected(503)) },
                    { end(AttemptEnd.Answered(500)) },
                    { paces.recordFirstEvent(second, predictedMillis = 50.0, sentAt = now, now = now + 500) },
                )
            for ((index, signal) in signals.withIndex()) {
                paces.observe(target("old"), target("old$index"), now)
                restart()
                signal()
                assertFalse(paces.allows(second, now) { 1 }, "signal $index")
            }
        }

        @Test
        fun `keeps its limit when nothing reached it or it asked for a pause`() {
            restart()
            listOf(AttemptEnd.NotSent, AttemptEnd.Withheld, AttemptEnd.AskedForPause(503)).forEach { end(it) }
            assertTrue(paces.allows(second, now) { 1 })
        }

        @Test
        fun `loses its limit after answers in time, each counted once`() {
            restart()
            repeat(5) {
                paces.recordFirstEvent(second, predictedMillis = 50.0, sentAt = now, now = now + 40)
                end(AttemptEnd.Answered(200), wasTimed = true)
            }
            assertTrue(isLimited(second))
            end(AttemptEnd.Answered(200))
            assertFalse(isLimited(second))
        }

        @Test
        fun `is logged at its start, when its limit is lowered and when it is lifted`() {
            restart()
            end(AttemptEnd.TimedOut)
            paces.reports(now + 10_000)
            assertEquals(listOf("target_pace_started", "target_pace_lowered", "target_pace_released"), events)
        }

        @Test
        fun `is told to peers at once`() {
            var news = 0
            paces.onNews = { news++ }
            restart()
            paces.recordFirstEvent(second, predictedMillis = 50.0, sentAt = now, now = now + 40)
            paces.recordFirstEvent(first, predictedMillis = 50.0, sentAt = now, now = now + 40)
            assertEquals(1, news)
            assertEquals(listOf(1), paces.reports(now + 50).map { it.confirmed })
        }
    }
}
