// Outcomes of one attempt to run a request at a target, and whether the request may have run.
package yuccaferry.decisions.forward

/** Outcome of an attempt that passed nothing on to the caller. */
sealed interface AttemptEnd {
    /** No byte of the request reached the target: the connection was refused or never established. */
    data object NotSent : AttemptEnd

    /** Nothing was sent, because the target wants no new work; it said so after it was chosen. */
    data object Withheld : AttemptEnd

    /** The target answered that it has not run the request. */
    data class Rejected(
        val status: Int,
    ) : AttemptEnd

    /** The target answered that it has not run the request, and asked for a pause, which is no failure. */
    data class AskedForPause(
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
            AttemptEnd.NotSent, AttemptEnd.Withheld, is AttemptEnd.Rejected, is AttemptEnd.AskedForPause -> false
            is AttemptEnd.Answered, is AttemptEnd.Broken, AttemptEnd.TimedOut -> true
        }

/** Whether the request was sent to the target. */
val AttemptEnd.wasSent: Boolean
    get() =
        when (this) {
            AttemptEnd.NotSent, AttemptEnd.Withheld -> false
            is AttemptEnd.Rejected, is AttemptEnd.AskedForPause -> true
            is AttemptEnd.Answered, is AttemptEnd.Broken, AttemptEnd.TimedOut -> true
        }
