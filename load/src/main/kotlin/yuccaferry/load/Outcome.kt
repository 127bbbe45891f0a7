// Outcome of one request. Times are nanoseconds from the start of the run.
package yuccaferry.load

/** How a request ended. */
internal sealed interface Ending {
    /** The complete answer arrived and is the one expected for the request. */
    data object Complete : Ending

    /**
     * The service refused the request, the call failed, or the answer broke off; [code] is stable.
     *
     * @property execution whether the request ran, as the service reported it; null when it reported nothing.
     */
    data class Failed(
        val code: String,
        val message: String,
        val execution: String? = null,
    ) : Ending

    /** The answer ended normally, but its text is not the whole one expected for the request. */
    data class Wrong(
        val message: String,
    ) : Ending
}

/**
 * Outcome of [request].
 *
 * @property sentNanos when it was actually sent.
 * @property firstTokenNanos when the first piece of the answer to a prompt or the whole answer to a call arrived, null when none did.
 * @property endNanos when the answer or the error was complete, or when the run ended.
 */
internal class Outcome(
    val request: PlannedRequest,
    val ending: Ending,
    val sentNanos: Long,
    val firstTokenNanos: Long?,
    val endNanos: Long,
    val pieces: Int = 0,
    val cachedTokens: Long = 0,
) {
    val complete: Boolean
        get() = ending == Ending.Complete
}
