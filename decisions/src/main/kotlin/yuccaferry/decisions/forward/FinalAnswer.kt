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

/** Returns whether another target may be tried after the attempt [last]; always true for an [idempotent] request. */
fun mayRetry(
    last: AttemptEnd,
    idempotent: Boolean,
): Boolean = !last.mayHaveRun || idempotent
