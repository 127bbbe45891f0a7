// Runs the tasks that last as long as the process. Whatever ends or stalls one of them, it is started again.
package yuccaferry.gateway

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.gateway.net.EventLoop
import yuccaferry.model.MonotonicTime

/**
 * The background tasks of a process on [loop]; confined to it.
 *
 * @param stallMillis milliseconds without progress after which a required task is unhealthy and started again.
 */
class BackgroundTasks(
    private val loop: EventLoop,
    private val telemetry: Telemetry,
    private val stallMillis: Long = STALL_MILLIS,
) {
    private val required = mutableListOf<Task>()

    /** Whether each required task has progressed since its last failure, and within the last [stallMillis]. */
    val areHealthy: Boolean get() = areHealthyAt(loop.now())

    internal fun areHealthyAt(now: MonotonicTime) = required.all { it.isHealthy(now, stallMillis) }

    /**
     * Runs [action] until the process ends, and again after a pause whenever it ends or fails, or makes no progress though it is required.
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
                supervise(name, task, if (isRequired) stallMillis else Long.MAX_VALUE, action)
            }
        }
    }

    /** Runs [action] once and pauses. A failure of the supervision itself, such as lack of memory, ends the run and nothing else. */
    private suspend fun supervise(
        name: String,
        task: Task,
        limitMillis: Long,
        action: suspend (onProgress: () -> Unit) -> Unit,
    ) {
        try {
            runUntilStalled(name, task, limitMillis, action)
            delay(RESTART_MILLIS)
        } catch (failure: Throwable) {
            currentCoroutineContext().ensureActive()
            task.recordFailure()
            logFailure(name, failure)
            yield()
        }
    }

    /** Runs [action] until it ends, or has made no progress for [limitMillis]; its coroutines have ended then. */
    private suspend fun runUntilStalled(
        name: String,
        task: Task,
        limitMillis: Long,
        action: suspend (onProgress: () -> Unit) -> Unit,
    ) = coroutineScope {
        task.start(loop.now())
        val run = launch { run(name, task, action) }
        while (run.isActive) {
            val leftMillis = task.stallsIn(loop.now(), limitMillis)
            if (leftMillis > 0) {
                withTimeoutOrNull(leftMillis) { run.join() }
                continue
            }
            task.recordFailure()
            telemetry.event("task_stalled", Field("task", name), Field("after_ms", limitMillis), severity = Severity.ERROR)
            run.cancelAndJoin()
        }
    }

    private suspend fun run(
        name: String,
        task: Task,
        action: suspend (onProgress: () -> Unit) -> Unit,
    ) {
        try {
            coroutineScope { action { task.recordProgress(loop.now()) } }
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
        } catch (unlogged: Throwable) {
            // The task is started again, with or without a log line.
        }
    }

    private class Task(
        private var lastProgress: MonotonicTime,
        private val isSound: () -> Boolean,
    ) {
        private var hasFailed = false
        private var started = lastProgress

        fun start(now: MonotonicTime) {
            started = now
        }

        /** Returns the milliseconds until a run without progress has lasted [limitMillis]. */
        fun stallsIn(
            now: MonotonicTime,
            limitMillis: Long,
        ): Long = limitMillis - (now - maxOf(started, lastProgress))

        fun recordProgress(now: MonotonicTime) {
            lastProgress = now
            hasFailed = false
        }

        fun recordFailure() {
            hasFailed = true
        }

        fun isHealthy(
            now: MonotonicTime,
            stallMillis: Long,
        ) = !hasFailed && now - lastProgress <= stallMillis && isSound()
    }

    companion object {
        /** Milliseconds without progress after which a task counts as stalled: several times its longest call and pause. */
        const val STALL_MILLIS = 15_000L

        /** Milliseconds before a task that ended or failed is started again. */
        private const val RESTART_MILLIS = 500L
    }
}
