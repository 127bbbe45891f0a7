package yuccaferry.decisions.dispatch

import org.junit.jupiter.api.Nested
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LoadReportsTest {
    private val reports = LoadReports()
    private val target = TargetId("t")
    private val run = Incarnation("1")
    private val start = MonotonicTime(10_000)

    private fun record(
        running: Int,
        waiting: Int = 0,
        known: Int = 0,
        millisLater: Long = 0,
        of: TargetId = target,
    ) = reports.record(of, run, ReportedLoad(running, waiting, slots = 12), known, start + millisLater)

    private fun unaccounted(
        millisLater: Long = 0,
        of: Incarnation = run,
    ) = reports.unaccounted(target, of, start + millisLater)

    @Nested
    inner class `a target with more requests than are known` {
        @Test
        fun `has the others unaccounted`() {
            record(running = 12, waiting = 5, known = 4)
            assertEquals(13.0, unaccounted())
        }

        @Test
        fun `has fewer of them as time passes without another report`() {
            record(running = 10, known = 2)
            assertEquals(4.0, unaccounted(millisLater = 1_000))
            assertEquals(0.0, unaccounted(millisLater = 2_000))
        }

        @Test
        fun `has none once a newer report accounts for all`() {
            record(running = 12)
            record(running = 3, known = 3, millisLater = 100)
            assertEquals(0.0, unaccounted(millisLater = 100))
        }

        @Test
        fun `keeps the newer report when an older one arrives through a peer`() {
            record(running = 9, millisLater = 100)
            assertFalse(record(running = 2))
            assertEquals(9.0, unaccounted(millisLater = 100))
        }

        @Test
        fun `has none in its next run`() {
            record(running = 9)
            assertEquals(0.0, unaccounted(of = Incarnation("2")))
        }
    }

    @Nested
    inner class `a target with fewer requests than are known` {
        @Test
        fun `keeps the known ones, which may be on their way`() {
            record(running = 1, known = 4)
            assertEquals(0.0, unaccounted())
        }
    }

    @Nested
    inner class `what peers are told` {
        @Test
        fun `are targets that are full or have several unaccounted requests`() {
            record(running = 12, known = 12, of = TargetId("full"))
            record(running = 5, known = 2, of = TargetId("unaccounted"))
            record(running = 5, known = 5, of = TargetId("known"))
            val told = reports.reportable(start + 50)
            assertEquals(listOf("full", "unaccounted"), told.map { it.target.value })
            assertEquals(listOf(50L, 50L), told.map { it.ageMillis })
        }

        @Test
        fun `is limited to the fullest targets, and to recent reports`() {
            repeat(LoadReports.MAX_REPORTED + 5) { record(running = it + 2, of = TargetId("t$it")) }
            val told = reports.reportable(start)
            assertEquals(LoadReports.MAX_REPORTED, told.size)
            assertTrue(told.all { it.load.running >= 7 })
            assertEquals(emptyList(), reports.reportable(start + 1_001))
        }
    }
}
