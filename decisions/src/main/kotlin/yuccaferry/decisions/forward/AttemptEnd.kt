// How one attempt to run a request at a target ended, and what that proves.
package yuccaferry.decisions.forward

/** The end of an attempt before anything was passed on to the caller. */
sealed interface AttemptEnd {
    /** No byte of the request reached the target: the connection was refused or never stood. */
    data object NotSent : AttemptEnd

    /** The target itself said that it has not run the request. */
    data class Rejected(
        val status: Int,
    ) : AttemptEnd

    /** The target gave a whole answer. */
    data class Answered(
        val status: Int,
    ) : AttemptEnd

    /** The request was sent and the connection broke, or what came is no valid answer. */
    data class Broken(
        val reason: String,
    ) : AttemptEnd

    /** The request was sent and no answer came in the time allowed. */
    data object TimedOut : AttemptEnd
}

/** Whether [this] leaves open that the target ran the request. */
val AttemptEnd.mayHaveRun: Boolean
    get() =
        when (this) {
            AttemptEnd.NotSent, is AttemptEnd.Rejected -> false
            is AttemptEnd.Answered, is AttemptEnd.Broken, AttemptEnd.TimedOut -> true
        }
