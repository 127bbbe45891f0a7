/*
 * Decides what a caller is told when no target's answer can be passed on. A status that promises "has not run" is given only
 * when every attempt proves it.
 */
package yuccaferry.decisions.forward

/** The daemon's own answer. */
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

    /** The request may have run; no answer came in time. */
    data object TimedOut : FinalAnswer {
        override val status = 504
    }
}

/** The answer after [attempts], in order; the caller may come back after [retryAfterMillis]. */
fun finalAnswer(
    attempts: List<AttemptEnd>,
    retryAfterMillis: Long,
): FinalAnswer =
    when {
        attempts.none { it.mayHaveRun } -> FinalAnswer.NotRun(retryAfterMillis)
        attempts.any { it is AttemptEnd.TimedOut } -> FinalAnswer.TimedOut
        else -> FinalAnswer.Unknown
    }

/** Whether another target may be tried after [last], for a request that is [idempotent]. */
fun mayTryAgain(
    last: AttemptEnd,
    idempotent: Boolean,
): Boolean = !last.mayHaveRun || idempotent
