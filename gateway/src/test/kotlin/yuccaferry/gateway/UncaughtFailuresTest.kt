package yuccaferry.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.gateway.net.EventLoop
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UncaughtFailuresTest {
    private val lines = CopyOnWriteArrayList<String>()
    private val counted = AtomicInteger()
    private var fault: Throwable? = null
    private val telemetry =
        object : Telemetry by NoTelemetry {
            override fun event(
                name: String,
                vararg fields: Field,
                severity: Severity,
            ) {
                fault?.let { throw it }
                lines += "$severity $name " + fields.filter { it.value != null }.joinToString(" ") { "${it.key}=${it.value}" }
            }

            override fun count(
                name: String,
                amount: Double,
                vararg labels: Field,
            ) {
                counted.addAndGet(amount.toInt())
            }
        }
    private val failures = UncaughtFailures(telemetry)

    private fun recurse(depth: Int): Int = if (depth < 0) 0 else 1 + recurse(depth + 1)

    @Nested
    inner class `a failure of a coroutine that nothing handles` {
        private fun failOnLoop(action: () -> Unit) {
            val loop = EventLoop(failures)
            runBlocking(loop.scope.coroutineContext) {
                loop.scope.launch { action() }
                withTimeout(WAIT_MILLIS) { while (counted.get() == 0) delay(1) }
            }
            loop.close()
        }

        /** Guards against failures that only Java's own handler prints, without the daemon, the place and a metric. */
        @Test
        fun `is logged as one error line with its place, and counted`() {
            failOnLoop { recurse(0) }
            val line = lines.single()
            assertContains(line, "ERROR uncaught_failure error=java.lang.StackOverflowError")
            assertContains(line, "UncaughtFailuresTest.recurse")
            assertContains(line, "thread=multiThreadIoEventLoopGroup")
            assertEquals(1, counted.get())
        }

        @Test
        fun `leaves the loop running if it can't be reported`() {
            fault = OutOfMemoryError()
            val loop = EventLoop(failures)
            runBlocking(loop.scope.coroutineContext) {
                loop.scope.launch { throw OutOfMemoryError() }.join()
                loop.scope.launch { throw StackOverflowError() }.join()
            }
            loop.close()
            assertTrue(lines.isEmpty())
            assertEquals(2, counted.get())
        }
    }

    @Test
    fun `a failure of a thread is logged in the same way`() {
        val worker = thread(name = "worker", start = false) { error("broken") }
        worker.uncaughtExceptionHandler = failures
        worker.start()
        worker.join()
        assertContains(lines.single(), "error=java.lang.IllegalStateException message=broken")
        assertContains(lines.single(), "thread=worker")
    }

    private companion object {
        const val WAIT_MILLIS = 10_000L
    }
}
