// Reads the events of one streamed answer and checks that it is complete and has the expected text.
package yuccaferry.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram

private const val STREAM_END = "[DONE]"
private const val SIGNIFICANT_DIGITS = 3
private const val NANOS_PER_MICRO = 1_000L

private val lenientJson = Json { ignoreUnknownKeys = true }

/** Error object of an answer. */
@Serializable
internal data class AnswerError(
    val code: String,
    val message: String = "",
    val execution: String? = null,
)

@Serializable
private data class AnswerEvent(
    val choices: List<AnswerChoice> = emptyList(),
    val usage: AnswerUsage? = null,
    val error: AnswerError? = null,
)

@Serializable
private data class AnswerChoice(
    val text: String = "",
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
private data class AnswerUsage(
    @SerialName("cached_tokens") val cachedTokens: Long = 0,
    @SerialName("prompt_tokens_details") val details: PromptTokenDetails? = null,
) {
    val cached: Long
        get() = details?.cachedTokens ?: cachedTokens
}

@Serializable
private data class PromptTokenDetails(
    @SerialName("cached_tokens") val cachedTokens: Long = 0,
)

/** The error object of [body], null when there is none. */
internal fun errorOf(body: String): AnswerError? =
    try {
        lenientJson.decodeFromString<AnswerEvent>(body).error
    } catch (e: SerializationException) {
        null
    }

/** Histograms of the time between pieces, by length class, in microseconds. */
internal class GapRecorder {
    private val histograms = LengthClass.entries.map { ConcurrentHistogram(SIGNIFICANT_DIGITS) }

    /** The histogram of [lengthClass]. */
    fun of(lengthClass: LengthClass): Histogram = histograms[lengthClass.ordinal]
}

/** State of one answer while it arrives; [now] gives nanoseconds, [gaps] takes the times between its pieces. */
internal class AnswerStream(
    private val now: () -> Long,
    private val gaps: Histogram,
) {
    private val text = StringBuilder()
    private var lastPieceNanos = 0L
    private var finished = false
    private var failure: AnswerError? = null

    /** Time at which the first piece arrived, null until then. */
    var firstTokenNanos: Long? = null
        private set

    /** Pieces received. */
    var pieces = 0
        private set

    /** Prompt tokens that the engine found in its cache. */
    var cachedTokens = 0L
        private set

    /** Whether the end marker or an error was received. */
    var ended = false
        private set

    /** Processes the data of one event. */
    fun accept(data: String) {
        if (data == STREAM_END) {
            ended = true
            return
        }
        val event =
            try {
                lenientJson.decodeFromString<AnswerEvent>(data)
            } catch (e: SerializationException) {
                AnswerEvent(error = AnswerError("malformed_event", data.take(MESSAGE_LENGTH)))
            }
        event.error?.let {
            failure = it
            ended = true
        }
        event.usage?.let { cachedTokens = it.cached }
        val choice = event.choices.firstOrNull() ?: return
        if (choice.text.isNotEmpty()) addPiece(choice.text)
        if (choice.finishReason != null) finished = true
    }

    /** Returns how the answer ended; [expected] is the text that it must have, null when that is not known. */
    fun ending(expected: String?): Ending {
        val error = failure
        return when {
            error != null -> Ending.Failed(error.code, error.message, error.execution)
            !ended || !finished -> Ending.Failed(CODE_CUT, "ended after $pieces pieces")
            expected != null && expected != text.toString() -> Ending.Wrong("$pieces pieces, their text isn't the expected answer")
            else -> Ending.Complete
        }
    }

    private fun addPiece(content: String) {
        val time = now()
        if (firstTokenNanos == null) {
            firstTokenNanos = time
        } else {
            gaps.recordValue((time - lastPieceNanos) / NANOS_PER_MICRO)
        }
        lastPieceNanos = time
        text.append(content)
        pieces++
    }

    private companion object {
        const val MESSAGE_LENGTH = 80
    }
}
