package yuccaferry.gateway

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
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
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BackgroundTasksTest {
    private val loop = EventLoop()
    private val tasks = BackgroundTasks(loop, NoTelemetry)

    @AfterTest
    fun closeLoop() = loop.close()

    private suspend fun await(condition: () -> Boolean) = withTimeout(WAIT_MILLIS) { while (!condition()) delay(POLL_MILLIS) }

    /** Starts a task that [end]s its first run and goes on in the second, and returns when it has. */
    private fun startsAgainAfter(end: suspend () -> Unit) =
        runBlocking(loop.scope.coroutineContext) {
            var runs = 0
            tasks.start("task") { onProgress ->
                if (++runs == 1) return@start end()
                onProgress()
                awaitCancellation()
            }
            await { runs == 2 }
            await { tasks.areHealthy }
        }

    @Nested
    inner class `a task is started again` {
        @Test
        fun `after an exception`() = startsAgainAfter { throw IllegalStateException() }

        /** Guards against errors that ended the task which follows the store, while the process lived on. */
        @Test
        fun `after an error`() = startsAgainAfter { throw StackOverflowError() }

        @Test
        fun `after lack of memory`() = startsAgainAfter { throw OutOfMemoryError() }

        @Test
        fun `after a timeout of its own`() = startsAgainAfter { withTimeout(1) { awaitCancellation() } }

        @Test
        fun `after it returned`() = startsAgainAfter { }
    }

    @Test
    fun `a task that fails again and again is unhealthy`() =
        runBlocking(loop.scope.coroutineContext) {
            var runs = 0
            tasks.start("task") {
                runs++
                throw StackOverflowError()
            }
            await { runs == 1 }
            assertFalse(tasks.areHealthy)
            await { runs == 2 }
            assertFalse(tasks.areHealthy)
        }

    @Test
    fun `a task without progress is unhealthy after a while`() =
        runBlocking(loop.scope.coroutineContext) {
            tasks.start("task") { awaitCancellation() }
            assertTrue(tasks.areHealthy)
            assertFalse(tasks.areHealthyAt(loop.now() + (BackgroundTasks.STALL_MILLIS + 1)))
        }

    @Test
    fun `the failure of a task that isn't required leaves the others healthy`() =
        runBlocking(loop.scope.coroutineContext) {
            var runs = 0
            tasks.start("task", isRequired = false) {
                runs++
                throw StackOverflowError()
            }
            await { runs == 1 }
            assertTrue(tasks.areHealthy)
        }

    @Nested
    inner class `a task that stalls` {
        private val stalling = BackgroundTasks(loop, NoTelemetry, stallMillis = 50)

        /** Guards against a task that waits for ever, so that the view lags until the process is started again. */
        @Test
        fun `is started again, and is healthy once it progresses`() =
            runBlocking(loop.scope.coroutineContext) {
                var runs = 0
                stalling.start("task") { onProgress ->
                    if (++runs == 1) awaitCancellation()
                    while (true) {
                        onProgress()
                        delay(POLL_MILLIS)
                    }
                }
                await { runs == 2 }
                await { stalling.areHealthy }
                repeat(20) {
                    delay(POLL_MILLIS)
                    assertEquals(2, runs)
                }
            }

        /** Guards against a failure of the log that ends the supervision of a task, and with it the task, for good. */
        @Test
        fun `is started again although the line about it can't be written`() =
            runBlocking(loop.scope.coroutineContext) {
                val failing =
                    object : Telemetry by NoTelemetry {
                        override fun event(
                            name: String,
                            vararg fields: Field,
                            severity: Severity,
                        ): Unit = throw OutOfMemoryError()
                    }
                var runs = 0
                BackgroundTasks(loop, failing, stallMillis = 50).start("task") {
                    runs++
                    awaitCancellation()
                }
                await { runs >= 2 }
            }

        @Test
        fun `leaves no coroutine of its earlier run`() =
            runBlocking(loop.scope.coroutineContext) {
                var runs = 0
                var helpers = 0
                stalling.start("task") {
                    runs++
                    coroutineScope {
                        launch {
                            helpers++
                            try {
                                awaitCancellation()
                            } finally {
                                helpers--
                            }
                        }
                        awaitCancellation()
                    }
                }
                await { runs == 3 && helpers == 1 }
            }

        @Test
        fun `is left alone if it isn't required`() =
            runBlocking(loop.scope.coroutineContext) {
                var runs = 0
                stalling.start("task", isRequired = false) {
                    runs++
                    awaitCancellation()
                }
                delay(RESTARTED_MILLIS)
                assertEquals(1, runs)
            }
    }

    private companion object {
        /** Time in which a required task that stalls is started again. */
        const val RESTARTED_MILLIS = 800L

        const val WAIT_MILLIS = 10_000L
        const val POLL_MILLIS = 5L
    }
}
