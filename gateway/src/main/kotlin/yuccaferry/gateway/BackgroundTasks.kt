// Runs the tasks that last as long as the process. Whatever ends one of them, it is started again.
package yuccaferry.gateway

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.gateway.net.EventLoop
import yuccaferry.model.MonotonicTime

/** The background tasks of a process on [loop]; confined to it. */
class BackgroundTasks(
    private val loop: EventLoop,
    private val telemetry: Telemetry,
) {
    private val required = mutableListOf<Task>()

    /** Whether each required task has progressed since its last failure, and within the last [STALL_MILLIS]. */
    val areHealthy: Boolean get() = areHealthyAt(loop.now())

    internal fun areHealthyAt(now: MonotonicTime) = required.all { it.isHealthy(now) }

    /**
     * Runs [action] until the process ends, and again after a pause whenever it ends or fails.
     *
     * @param isRequired whether the process is healthy only while this task progresses.
     * @param isHealthy whether what the task does is sound, beyond its progress; asked only if it is required.
     * @param action is given a function to call whenever it progresses.
     */
    fun start(
        name: String,
        isRequired: Boolean = true,
        isHealthy: () -> Boolean = { true },
        action: suspend (onProgress: () -> Unit) -> Unit,
    ) {
        val task = Task(loop.now(), isHealthy)
        if (isRequired) required += task
        loop.scope.launch {
            while (true) {
                run(name, task, action)
                delay(RESTART_MILLIS)
            }
        }
    }

    private suspend fun run(
        name: String,
        task: Task,
        action: suspend (onProgress: () -> Unit) -> Unit,
    ) {
        try {
            action { task.recordProgress(loop.now()) }
        } catch (failure: Throwable) {
            currentCoroutineContext().ensureActive()
            // An Error, or a timeout inside the action, ends the coroutine too, and nothing else would start the task again.
            task.recordFailure()
            logFailure(name, failure)
        }
    }

    private fun logFailure(
        name: String,
        failure: Throwable,
    ) {
        try {
            val where = failure.stackTrace.firstOrNull()
            telemetry.event("task_failed", Field("task", name), Field("error", failure), Field("at", where), severity = Severity.ERROR)
        } catch (exhausted: OutOfMemoryError) {
            // The task is started again, with or without a log line.
        }
    }

    private class Task(
        private var lastProgress: MonotonicTime,
        private val isSound: () -> Boolean,
    ) {
        private var hasFailed = false

        fun recordProgress(now: MonotonicTime) {
            lastProgress = now
            hasFailed = false
        }

        fun recordFailure() {
            hasFailed = true
        }

        fun isHealthy(now: MonotonicTime) = !hasFailed && now - lastProgress <= STALL_MILLIS && isSound()
    }

    companion object {
        /** Milliseconds without progress after which a task counts as stalled: several times its longest call and pause. */
        const val STALL_MILLIS = 15_000L

        /** Milliseconds before a task that ended or failed is started again. */
        private const val RESTART_MILLIS = 500L
    }
}
