package yuccaferry.gateway.net

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LoopMonitorTest {
    private val loop = EventLoop()
    private val lines = mutableListOf<String>()
    private var gauge: () -> Double = { -1.0 }
    private val telemetry =
        object : Telemetry by NoTelemetry {
            override fun event(
                name: String,
                vararg fields: Field,
                severity: Severity,
            ) {
                lines += "$severity $name"
            }

            override fun gauge(
                name: String,
                vararg labels: Field,
                read: () -> Double,
            ) {
                gauge = read
            }
        }

    @AfterTest
    fun closeLoop() = loop.close()

    /** Guards against a loop that was blocked for seconds without any sign of it in logs and metrics. */
    @Test
    fun `a long pass of the loop is warned of and measured`() =
        runBlocking(loop.scope.coroutineContext) {
            val monitor = LoopMonitor(loop, telemetry)
            var probes = 0
            val job = launch { monitor.follow { probes++ } }
            withTimeout(WAIT_MILLIS) { while (probes < 1) delay(1) }
            Thread.sleep(LONG_PASS_MILLIS)
            withTimeout(WAIT_MILLIS) { while (lines.isEmpty()) delay(1) }
            job.cancel()
            assertEquals("WARN loop_late", lines.first())
            assertTrue(monitor.lagMillis >= LoopMonitor.LATE_MILLIS, "found ${monitor.lagMillis}")
            assertEquals(monitor.lagMillis / 1_000.0, gauge())
        }

    private companion object {
        const val WAIT_MILLIS = 10_000L

        /** Time for which the loop is blocked: longer than the interval between probes and the lag that is warned of. */
        const val LONG_PASS_MILLIS = 1_200L
    }
}
