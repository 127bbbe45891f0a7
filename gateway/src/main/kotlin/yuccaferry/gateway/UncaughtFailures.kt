// Reports failures that no other code handles, of coroutines and of threads, as one log line and a metric.
package yuccaferry.gateway

import kotlinx.coroutines.CoroutineExceptionHandler
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/** Reports uncaught failures to [telemetry]. Never throws, also when memory or stack are exhausted. */
class UncaughtFailures(
    private val telemetry: Telemetry,
) : AbstractCoroutineContextElement(CoroutineExceptionHandler),
    CoroutineExceptionHandler,
    Thread.UncaughtExceptionHandler {
    init {
        // The metric exists from the start, so that an alarm can tell "none" from "not reported".
        telemetry.count(METRIC, 0.0)
    }

    override fun handleException(
        context: CoroutineContext,
        exception: Throwable,
    ) = report(Thread.currentThread(), exception)

    override fun uncaughtException(
        thread: Thread,
        failure: Throwable,
    ) = report(thread, failure)

    private fun report(
        thread: Thread,
        failure: Throwable,
    ) = try {
        telemetry.count(METRIC)
        telemetry.event("uncaught_failure", *fieldsOf(thread, failure), severity = Severity.ERROR)
    } catch (unreported: Throwable) {
        printConstantLine(failure)
    }

    private fun fieldsOf(
        thread: Thread,
        failure: Throwable,
    ) = arrayOf(
        Field("error", failure.javaClass.name),
        Field("message", failure.message?.take(MAX_MESSAGE_CHARS)),
        Field("cause", failure.cause?.javaClass?.name),
        Field(
            "at",
            failure.stackTrace
                .take(MAX_FRAMES)
                .joinToString(" < ")
                .ifEmpty { null },
        ),
        Field("thread", thread.name),
    )

    /** Prints the class of [failure] without allocating, because the report may have failed for lack of memory. */
    private fun printConstantLine(failure: Throwable) =
        try {
            System.err.print(CONSTANT_LINE)
            System.err.println(failure.javaClass.name)
        } catch (exhausted: Throwable) {
            // Nothing is left to report with, and the thread that failed has to go on.
        }

    private companion object {
        const val METRIC = "yuccaferry_uncaught_failures_total"
        const val CONSTANT_LINE = "level=ERROR event=uncaught_failure error="

        /** Frames in a line: enough to see what recursed and what called it in the usual case. */
        const val MAX_FRAMES = 8

        /** Characters of a message, which may quote bytes from outside. */
        const val MAX_MESSAGE_CHARS = 200
    }
}
