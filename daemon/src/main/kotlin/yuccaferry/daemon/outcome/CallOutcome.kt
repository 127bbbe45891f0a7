/*
 * The only code that determines whether a failed call had an effect at its target. The result depends only on how far
 * the call got and on the error that ended it, never on assumptions about the target.
 */
package yuccaferry.daemon.outcome

import yuccaferry.daemon.port.TargetError
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode

private const val STATUS_GONE = 410
private const val STATUS_UNAVAILABLE = 503

/** How far a call to a target got, as observed by this process. */
enum class CallProgress {
    /** The call was never handed to the target's client. */
    NOT_DISPATCHED,

    /** The call was handed to the target's client and no part of an answer has arrived. */
    DISPATCHED,

    /** Part of the target's answer to this call has arrived. */
    ANSWERING,
}

/**
 * Returns whether a call that got to [progress] and ended with [error] had an effect.
 *
 * @param error null when this process gave the call up.
 */
fun executionOf(
    progress: CallProgress,
    error: TargetError?,
): Execution =
    when (progress) {
        CallProgress.NOT_DISPATCHED -> Execution.NOT_RUN
        CallProgress.DISPATCHED -> executionOfDispatched(error)
        CallProgress.ANSWERING -> Execution.RAN
    }

private fun executionOfDispatched(error: TargetError?): Execution =
    when (error) {
        is TargetError.NotSent, is TargetError.Rejected -> Execution.NOT_RUN
        is TargetError.Broken, is TargetError.TimedOut, null -> Execution.UNKNOWN
    }

/** Combines the executions of several attempts at one request: [Execution.RAN] if any ran, else [Execution.UNKNOWN] if any may have. */
fun joinExecutions(attempts: List<Execution>): Execution =
    when {
        Execution.RAN in attempts -> Execution.RAN
        Execution.UNKNOWN in attempts -> Execution.UNKNOWN
        else -> Execution.NOT_RUN
    }

/** Returns the refusal for a call that got to [progress] and ended with [error]. */
fun refusalOf(
    progress: CallProgress,
    error: TargetError,
): Refusal = Refusal(codeOf(error), error.message, executionOf(progress, error))

private fun codeOf(error: TargetError): RefusalCode =
    when (error) {
        is TargetError.NotSent, is TargetError.Broken -> {
            RefusalCode.TARGET_FAILED
        }

        is TargetError.TimedOut -> {
            RefusalCode.DEADLINE_EXCEEDED
        }

        is TargetError.Rejected -> {
            when (error.status) {
                STATUS_GONE -> RefusalCode.DEADLINE_EXCEEDED
                STATUS_UNAVAILABLE -> RefusalCode.NO_CAPACITY
                else -> RefusalCode.TARGET_FAILED
            }
        }
    }
