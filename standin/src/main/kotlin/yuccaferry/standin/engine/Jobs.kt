// Work that an engine has accepted, and what comes out of it.
package yuccaferry.standin.engine

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel

/** What a job gives to whoever asked for it. */
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

    /** The work ended early; [code] is one of the interface. */
    data class Ended(
        val code: String,
        val message: String,
    ) : Output

    /** The engine crashed: nothing more is sent. */
    data object Crashed : Output
}

/** Why something was not accepted; nothing ran. */
internal data class Refused(
    val status: Int,
    val code: String,
    val message: String,
)

/** Who holds a thing and until when; [deadline] is in nanoseconds of the engine's clock. */
internal class Holder(
    val id: String,
    val owner: String,
    val epoch: Long,
    val deadline: Long,
)

/** Stage of a job. */
internal enum class Stage { WAITING, PREFILL, DECODE, HELD }

/**
 * One request or segment.
 *
 * @property gang gang id of a segment, null for a request.
 * @property needTokens memory that it takes while in the batch.
 * @property pieces number of all pieces of the answer.
 * @property stalled never makes progress, by a fault.
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

    /** What the job gives, in order. Cancelling it stops nothing but the delivery. */
    val output: ReceiveChannel<Output> get() = channel

    /** Memory held now. */
    val tokens: Long get() = if (stage == Stage.WAITING) 0 else needTokens

    /** Delivers [event] if somebody still listens. */
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
