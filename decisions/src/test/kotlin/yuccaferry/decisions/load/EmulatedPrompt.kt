// Prompts on their way through an emulated zone.
package yuccaferry.decisions.load

/**
 * One kind of prompt.
 *
 * @property perSecond arrivals in a second on average, by the time since the start in milliseconds.
 * @property meanTokens mean prompt length, and [spread] the standard deviation of its logarithm.
 * @property meanEvents mean number of events of an answer.
 */
internal class PromptKind(
    val perSecond: (Double) -> Double,
    val meanTokens: Double,
    val spread: Double,
    val maxTokens: Long,
    val meanEvents: Double,
    val targetMillis: Long,
)

/** Outcome of one prompt: the time to its first event, and the longest pause after it; null if it was refused. */
internal class Outcome(
    val kind: PromptKind,
    val arrivalMillis: Double,
    val firstMillis: Double?,
    val longestPauseMillis: Double,
)

/** A prompt that reaches a [daemon]. */
internal class Arrival(
    val kind: PromptKind,
    val millis: Double,
    val tokens: Long,
    val events: Int,
    val daemon: Int,
)

/** A prompt sent to an engine, the [number]th time that it is sent. */
internal class EmulatedSend(
    val arrival: Arrival,
    val request: EmulatedRequest,
    val engine: Int,
    val predictedMillis: Double,
    val number: Int,
) {
    var isReported = false
    val sentMillis get() = request.arrivalMillis

    /** Time to the first event since the prompt was sent, and since it arrived. */
    val firstMillis get() = request.firstEventMillis?.let { it - sentMillis }
    val sinceArrival get() = request.firstEventMillis?.let { it - arrival.millis }
}

/** What a daemon learned of a [send] at [now]: its first event, or that it failed. */
internal class ZoneSignal(
    val send: EmulatedSend,
    val now: Double,
    val isFailure: Boolean,
)
