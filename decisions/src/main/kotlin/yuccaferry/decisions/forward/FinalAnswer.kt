/*
 * Decides the answer to a caller when no target's answer can be passed on. The status for "has not run" is sent only when every
 * attempt proves it.
 */
package yuccaferry.decisions.forward

/** Answer that the daemon itself gives. */
sealed interface FinalAnswer {
    val status: Int

    /** The request has not run and will not; the caller may repeat it after [retryAfterMillis]. */
    data class NotRun(
        val retryAfterMillis: Long,
    ) : FinalAnswer {
        override val status = 503
    }

    /** The request may have run; its answer was lost. */
    data object Unknown : FinalAnswer {
        override val status = 502
    }

    /** The request may have run; no answer arrived in time. */
    data object TimedOut : FinalAnswer {
        override val status = 504
    }
}

/** Returns the answer after [attempts], which are in order; the caller may retry after [retryAfterMillis]. */
fun finalAnswer(
    attempts: List<AttemptEnd>,
    retryAfterMillis: Long,
): FinalAnswer =
    when {
        attempts.none { it.mayHaveRun } -> FinalAnswer.NotRun(retryAfterMillis)
        attempts.any { it is AttemptEnd.TimedOut } -> FinalAnswer.TimedOut
        else -> FinalAnswer.Unknown
    }

/**
 * Returns whether a target's own failure with [status] may be passed on. To callers, some statuses promise that the request has not run;
 * a target that answers with one and doesn't state that itself may have run it, and a caller may repeat it.
 */
fun mayPassOn(
    status: Int,
    idempotent: Boolean,
): Boolean = idempotent || status !in NOT_RUN_STATUSES

/** Statuses that promise callers that a request has not run and will not. */
private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

/** Returns whether another target may be tried after the attempt [last]; always true for an [idempotent] request. */
fun mayRetry(
    last: AttemptEnd,
    idempotent: Boolean,
): Boolean = !last.mayHaveRun || idempotent
