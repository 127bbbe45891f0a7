/*
 * Port to model engines. A generation is a flow of numbered pieces that ends in exactly one terminal event.
 * Failures are events, never exceptions, and say whether any byte of the request left this process.
 */
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.Incarnation
import yuccaferry.model.ModelVersion
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.Target

/** The prompt of a generation. */
sealed interface Prompt {
    /** Text as given to the completions endpoint. */
    data class Text(
        val text: String,
    ) : Prompt

    /** Messages as given to the chat completions endpoint, as a JSON array that the engine renders. */
    data class Messages(
        val json: String,
    ) : Prompt
}

/**
 * One generation on one engine.
 *
 * @property priority order in the engine's queue; lower is more urgent.
 * @property firstPiece number of the first piece wanted; above zero when a broken stream is continued.
 * @property deliveredText text of the pieces before [firstPiece], which the engine continues.
 * @property timeLeftMillis time until the request's deadline; the engine gives up after it.
 * @property gang identifies segments on other engines that hold the start of the prompt.
 * @property gangTokens tokens that those segments hold.
 */
data class EngineCall(
    val request: RequestId,
    val owner: DaemonId,
    val epoch: Epoch,
    val model: ServiceName,
    val prompt: Prompt,
    val maxTokens: Int,
    val priority: Int,
    val timeLeftMillis: Long,
    val firstPiece: Int = 0,
    val deliveredText: String = "",
    val gang: String? = null,
    val gangTokens: Long = 0,
    val traceparent: String? = null,
)

/** Token counts of a finished generation. */
data class Usage(
    val promptTokens: Long,
    val completionTokens: Long,
    val cachedTokens: Long = 0,
)

/** Event received from an engine during a generation. */
sealed interface EngineEvent {
    /** The engine accepted the request. */
    data class Accepted(
        val incarnation: Incarnation,
    ) : EngineEvent

    /** One piece of the answer; [request] is the id that the engine sent with it, which may be that of another request. */
    data class Piece(
        val request: RequestId,
        val number: Int,
        val text: String,
    ) : EngineEvent

    /** The answer is complete and had [pieces] pieces in all. */
    data class Finished(
        val request: RequestId,
        val pieces: Int,
        val reason: String,
        val usage: Usage,
    ) : EngineEvent

    /** The generation ended without a complete answer. */
    data class Failed(
        val error: TargetError,
    ) : EngineEvent
}

/** Reason why a target gave no complete answer. */
sealed interface TargetError {
    val message: String

    /** No byte of the request was sent: the connection was refused or could not be made. */
    data class NotSent(
        override val message: String,
    ) : TargetError

    /** The target answered that it did not run the request, with its own [code]. */
    data class Rejected(
        val status: Int,
        val code: String,
        override val message: String,
    ) : TargetError

    /** The connection broke, or the answer was malformed, after bytes of the request were sent. */
    data class Broken(
        override val message: String,
    ) : TargetError

    /** No answer in time after bytes of the request were sent. */
    data class TimedOut(
        override val message: String,
    ) : TargetError
}

/** The load that an engine last reported; it may lag by seconds. */
data class LoadReport(
    val incarnation: Incarnation,
    val warm: Boolean,
    val model: ServiceName,
    val version: ModelVersion,
    val adapters: List<String>,
    val kvTokens: Long,
    val kvUsedTokens: Long,
    val running: Int,
    val waiting: Int,
    val waitingPrefillTokens: Long,
    val ageMillis: Long,
)

/** Kind of item that holds memory on an engine. */
enum class HeldKind { REQUEST, SEGMENT, EXPORT }

/**
 * One item that holds memory on an engine.
 *
 * @property id request id, gang id or export handle, as [kind] says.
 */
data class HeldItem(
    val kind: HeldKind,
    val id: String,
    val owner: DaemonId,
    val epoch: Epoch,
    val tokens: Long,
    val prefillTokensLeft: Long,
    val timeLeftMillis: Long,
)

/** All items that hold memory in one incarnation of an engine; exact, unlike a load report. */
data class HeldWork(
    val incarnation: Incarnation,
    val warm: Boolean,
    val items: List<HeldItem>,
)

/** Prefill of one segment of a prompt on an engine of a gang. */
data class SegmentCall(
    val request: RequestId,
    val gang: String,
    val index: Int,
    val owner: DaemonId,
    val epoch: Epoch,
    val text: String,
    val priority: Int,
    val timeLeftMillis: Long,
)

/** Desired state of a target; sending it again changes nothing. */
data class TargetOrder(
    val epoch: Epoch,
    val model: ServiceName,
    val version: ModelVersion,
    val adapters: List<String>,
)

/** Calls to model engines. */
interface EngineClient {
    /** Runs [call] on [target]; cancelling the collection closes the connection but does not cancel at the engine. */
    fun generate(
        target: Target,
        call: EngineCall,
    ): Flow<EngineEvent>

    /** Cancels a request and frees what it holds; succeeds when there is nothing to cancel. */
    suspend fun cancel(
        target: Target,
        request: RequestId,
    ): Result<Unit, TargetError>

    /** Reads the engine's load report, which may lag by seconds. */
    suspend fun load(target: Target): Result<LoadReport, TargetError>

    /** Lists the items that hold memory on the engine. */
    suspend fun held(target: Target): Result<HeldWork, TargetError>

    /** Prefills one segment of a gang, which the engine keeps until it is released. */
    suspend fun prefillSegment(
        target: Target,
        call: SegmentCall,
    ): Result<Unit, TargetError>

    /** Frees the segments of [gang]; succeeds when there are none. */
    suspend fun releaseGang(
        target: Target,
        gang: String,
    ): Result<Unit, TargetError>

    /** Frees an exported KV cache; succeeds when there is none. */
    suspend fun releaseExport(
        target: Target,
        handle: String,
    ): Result<Unit, TargetError>

    /** Brings the engine to the state that [order] describes. */
    suspend fun order(
        target: Target,
        order: TargetOrder,
    ): Result<Unit, TargetError>
}
