// Outcomes of one attempt to run a request at a target, and whether the request may have run.
package yuccaferry.decisions.forward

/** Outcome of an attempt that passed nothing on to the caller. */
sealed interface AttemptEnd {
    /** No byte of the request reached the target: the connection was refused or never established. */
    data object NotSent : AttemptEnd

    /** The target answered that it has not run the request. */
    data class Rejected(
        val status: Int,
    ) : AttemptEnd

    /** The target sent a complete answer. */
    data class Answered(
        val status: Int,
    ) : AttemptEnd

    /** The request was sent, and the connection broke or the answer was invalid. */
    data class Broken(
        val reason: String,
    ) : AttemptEnd

    /** The request was sent, and no answer arrived within the time limit. */
    data object TimedOut : AttemptEnd
}

/** Whether the target may have run the request. */
val AttemptEnd.mayHaveRun: Boolean
    get() =
        when (this) {
            AttemptEnd.NotSent, is AttemptEnd.Rejected -> false
            is AttemptEnd.Answered, is AttemptEnd.Broken, AttemptEnd.TimedOut -> true
        }
