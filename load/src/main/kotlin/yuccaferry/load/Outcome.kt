// What became of one request. Times are nanoseconds from the start of the run.
package yuccaferry.load

/** How a request ended. */
internal sealed interface Ending {
    /** The whole answer arrived and is the request's own. */
    data object Complete : Ending

    /**
     * The service refused, or the answer broke off, with a stable [code].
     *
     * @property execution what the service said of the request's effect; null when it said nothing.
     */
    data class Failed(
        val code: String,
        val message: String,
        val execution: String? = null,
    ) : Ending

    /** The answer was not whole or not the request's own. */
    data class Wrong(
        val message: String,
    ) : Ending
}

/**
 * What became of [request].
 *
 * @property sentNanos when it was really sent.
 * @property firstTokenNanos when the first piece of the answer arrived, null when none did.
 * @property endNanos when the answer or the error was complete.
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
