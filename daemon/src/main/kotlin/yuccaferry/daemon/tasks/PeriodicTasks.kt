// Runs the tasks that last as long as the process in rounds. Whatever ends a round, the next one follows.
package yuccaferry.daemon.tasks

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.model.MonotonicTime
import java.util.concurrent.CopyOnWriteArrayList

/** The periodic tasks of a process in [scope]; safe for concurrent use. */
class PeriodicTasks(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val telemetry: Telemetry,
) {
    private val required = CopyOnWriteArrayList<Task>()

    /** Names of the required tasks whose last round failed, or that have completed no round for [STALL_MILLIS]. */
    val failing: List<String>
        get() {
            val now = clock.now()
            return required.filterNot { it.isHealthy(now) }.map { it.name }
        }

    /**
     * Runs [round] again and again until the returned job is cancelled, also after a round that failed.
     *
     * @param isRequired whether the process is ready only while the rounds of this task succeed.
     * @param round returns the milliseconds until the next round.
     */
    fun start(
        name: String,
        isRequired: Boolean = true,
        round: suspend CoroutineScope.() -> Long,
    ): Job {
        val task = Task(name, clock.now())
        if (isRequired) required += task
        return scope.launch {
            while (true) delay(run(task, round))
        }
    }

    private suspend fun run(
        task: Task,
        round: suspend CoroutineScope.() -> Long,
    ): Long =
        try {
            coroutineScope(round).also { task.recordSuccess(clock.now()) }
        } catch (failure: Throwable) {
            // An Error, or a timeout inside the round, would end the task for good, and nothing else starts it again.
            currentCoroutineContext().ensureActive()
            task.recordFailure()
            log(task, failure)
            RETRY_MILLIS
        }

    private fun log(
        task: Task,
        failure: Throwable,
    ) {
        try {
            val where = failure.stackTrace.firstOrNull()
            telemetry.event("task_failed", Field("task", task.name), Field("error", failure), Field("at", where), severity = Severity.ERROR)
        } catch (exhausted: OutOfMemoryError) {
            // The next round follows, with or without a log line.
        }
    }

    private class Task(
        val name: String,
        @Volatile private var lastSuccess: MonotonicTime,
    ) {
        @Volatile
        private var hasFailed = false

        fun recordSuccess(now: MonotonicTime) {
            lastSuccess = now
            hasFailed = false
        }

        fun recordFailure() {
            hasFailed = true
        }

        fun isHealthy(now: MonotonicTime) = !hasFailed && now - lastSuccess <= STALL_MILLIS
    }

    companion object {
        /** Milliseconds without a round after which a task counts as stalled: above the timeouts of all calls of the longest round. */
        const val STALL_MILLIS = 30_000L

        /** Milliseconds before the round after one that failed; the shortest pause of the tasks that call other processes. */
        private const val RETRY_MILLIS = 500L
    }
}
