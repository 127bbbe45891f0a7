// JSON bodies of the engines' API, which docs/interfaces.md specifies.
package yuccaferry.target

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

@Serializable
internal data class CompletionBody(
    val model: String,
    val prompt: String? = null,
    val messages: JsonElement? = null,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean = true,
    @SerialName("request_id") val requestId: String,
    val owner: String,
    val epoch: Long,
    val priority: Int,
    @SerialName("deadline_ms") val deadlineMillis: Long,
    @SerialName("first_piece") val firstPiece: Int = 0,
    @SerialName("delivered_text") val deliveredText: String = "",
    @SerialName("gang_id") val gangId: String? = null,
    @SerialName("gang_tokens") val gangTokens: Long = 0,
)

@Serializable
internal data class ChunkBody(
    val id: String = "",
    val piece: Int = -1,
    val choices: List<ChoiceBody> = emptyList(),
    val usage: UsageBody? = null,
    val error: ErrorBody? = null,
)

@Serializable
internal data class ChoiceBody(
    val text: String? = null,
    val delta: DeltaBody? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class DeltaBody(
    val content: String? = null,
)

@Serializable
internal data class UsageBody(
    @SerialName("prompt_tokens") val promptTokens: Long = 0,
    @SerialName("completion_tokens") val completionTokens: Long = 0,
    @SerialName("cached_tokens") val cachedTokens: Long = 0,
)

@Serializable
internal data class ErrorBody(
    val code: String = "",
    val message: String = "",
)

@Serializable
internal data class ErrorEnvelope(
    val error: ErrorBody = ErrorBody(),
)

@Serializable
internal data class LoadBody(
    val incarnation: String,
    val warm: Boolean,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    @SerialName("kv_tokens") val kvTokens: Long,
    @SerialName("kv_used_tokens") val kvUsedTokens: Long,
    val running: Int,
    val waiting: Int,
    @SerialName("waiting_prefill_tokens") val waitingPrefillTokens: Long,
    @SerialName("age_ms") val ageMillis: Long,
)

@Serializable
internal data class HeldBody(
    val incarnation: String,
    val warm: Boolean,
    val items: List<HeldItemBody>,
)

@Serializable
internal data class HeldItemBody(
    val kind: String,
    val id: String,
    val owner: String = "",
    val epoch: Long = 0,
    val tokens: Long = 0,
    @SerialName("prefill_tokens_left") val prefillTokensLeft: Long = 0,
    @SerialName("deadline_ms") val deadlineMillis: Long = 0,
)

@Serializable
internal data class SegmentBody(
    @SerialName("request_id") val requestId: String,
    @SerialName("gang_id") val gangId: String,
    val index: Int,
    val owner: String,
    val epoch: Long,
    val text: String,
    val priority: Int,
    @SerialName("deadline_ms") val deadlineMillis: Long,
)

@Serializable
internal data class OrderBody(
    val epoch: Long,
    val model: String,
    val version: String,
    val adapters: List<String>,
)
