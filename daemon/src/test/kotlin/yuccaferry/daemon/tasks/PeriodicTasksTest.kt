@file:OptIn(ExperimentalCoroutinesApi::class)

package yuccaferry.daemon.tasks

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.model.MonotonicTime
import kotlin.coroutines.cancellation.CancellationException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val PAUSE_MILLIS = 1_000L

class PeriodicTasksTest {
    private fun TestScope.tasks() = PeriodicTasks(backgroundScope, { MonotonicTime(currentTime) }, NoTelemetry)

    /** Starts a task whose first round [end]s so, and checks that it is failing until the second round. */
    private fun runsAgainAfter(end: suspend CoroutineScope.() -> Unit) =
        runTest {
            val tasks = tasks()
            var rounds = 0
            tasks.start("task") {
                if (++rounds == 1) end()
                PAUSE_MILLIS
            }
            advanceTimeBy(100)
            assertEquals(listOf("task"), tasks.failing)
            advanceTimeBy(10 * PAUSE_MILLIS)
            assertTrue(rounds >= 10, "$rounds")
            assertEquals(emptyList(), tasks.failing)
        }

    /** Guards against tasks that ended for good while the process said that it was ready. */
    @Nested
    inner class `a task goes on and fails until its next round` {
        @Test
        fun `after an exception`() = runsAgainAfter { throw IllegalStateException() }

        @Test
        fun `after an error`() = runsAgainAfter { throw StackOverflowError() }

        @Test
        fun `after lack of memory`() = runsAgainAfter { throw OutOfMemoryError() }

        @Test
        fun `after a timeout of its own`() = runsAgainAfter { withTimeout(1) { awaitCancellation() } }

        @Test
        fun `after the cancellation of something that it awaited`() = runsAgainAfter { throw CancellationException("connection") }

        @Test
        fun `after an error of a coroutine that it started`() = runsAgainAfter { launch { throw StackOverflowError() } }
    }

    @Nested
    inner class `a task is failing` {
        @Test
        fun `while each round fails`() =
            runTest {
                val tasks = tasks()
                tasks.start("task") { throw StackOverflowError() }
                advanceTimeBy(10 * PAUSE_MILLIS)
                assertEquals(listOf("task"), tasks.failing)
            }

        @Test
        fun `when a round doesn't end`() =
            runTest {
                val tasks = tasks()
                tasks.start("task") { awaitCancellation() }
                advanceTimeBy(PeriodicTasks.STALL_MILLIS)
                assertEquals(emptyList(), tasks.failing)
                advanceTimeBy(PAUSE_MILLIS)
                assertEquals(listOf("task"), tasks.failing)
            }
    }

    @Test
    fun `a task that isn't required doesn't count`() =
        runTest {
            val tasks = tasks()
            tasks.start("task", isRequired = false) { throw StackOverflowError() }
            advanceTimeBy(PAUSE_MILLIS)
            assertEquals(emptyList(), tasks.failing)
        }

    @Test
    fun `a task ends when its job is cancelled`() =
        runTest {
            var rounds = 0
            val job =
                tasks().start("task") {
                    rounds++
                    PAUSE_MILLIS
                }
            advanceTimeBy(PAUSE_MILLIS / 2)
            job.cancel()
            advanceTimeBy(10 * PAUSE_MILLIS)
            assertEquals(1, rounds)
        }
}
