// Work that an engine has accepted, and its output.
package yuccaferry.standin.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel

/** Event in the output of a job. */
internal sealed interface Output {
    /** One generated piece. */
    data class Piece(
        val number: Int,
        val text: String,
    ) : Output

    /** The answer is complete. */
    data class Finished(
        val pieces: Int,
        val promptTokens: Long,
        val cachedTokens: Long,
    ) : Output

    /** A segment is prefilled and held. */
    data class Prefilled(
        val tokens: Long,
    ) : Output

    /** The work ended early; [code] is an error code of the API. */
    data class Ended(
        val code: String,
        val message: String,
    ) : Output

    /** The engine crashed; nothing more is sent. */
    data object Crashed : Output
}

/** Status and error code of a call that was rejected; nothing ran. */
internal data class Rejection(
    val status: Int,
    val code: String,
    val message: String,
)

/** Id, owner and epoch of a request, segment or export. [deadline] is in nanoseconds of the engine's clock. */
internal class Holder(
    val id: String,
    val owner: String,
    val epoch: Long,
    val deadline: Long,
)

/** Stage of a job. A segment is `HELD` after its prefill until its gang is released. */
internal enum class Stage { WAITING, PREFILL, DECODE, HELD }

/**
 * One request or segment.
 *
 * @property gang gang id of a segment; null for a request.
 * @property priority lower numbers run first.
 * @property number order of submission, by which jobs of the same priority run.
 * @property needTokens tokens of KV memory that the job holds while in the batch.
 * @property pieces number of pieces of the whole answer, with those before the first piece.
 * @property stalled whether a fault keeps the job from making progress.
 */
internal class Job(
    val holder: Holder,
    val gang: String?,
    val priority: Int,
    val number: Long,
    val prompt: PromptTokens,
    val needTokens: Long,
    prefillTokens: Long,
    firstPiece: Int,
    val pieces: Int,
    val stalled: Boolean,
) {
    private val channel = Channel<Output>(Channel.UNLIMITED)
    var stage = Stage.WAITING
    var prefillLeft = prefillTokens
    var cachedTokens = 0L
    var nextPiece = firstPiece

    /** Output in order. Cancelling the channel stops only the delivery; the job goes on. */
    val output: ReceiveChannel<Output> get() = channel

    /** Tokens of KV memory held now. */
    val tokens: Long get() = if (stage == Stage.WAITING) 0 else needTokens

    /** Sends [event] unless [output] was cancelled. */
    fun emit(event: Output) {
        channel.trySend(event)
    }
}

/** An exported KV cache. */
internal class Export(
    val holder: Holder,
    val tokens: Long,
    val blocks: LongArray,
)
