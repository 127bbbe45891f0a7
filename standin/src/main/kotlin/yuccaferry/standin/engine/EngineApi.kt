// Request and response bodies of the model engine API.
package yuccaferry.standin.engine

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonArray

private const val DEFAULT_MAX_TOKENS = 16
private const val DEFAULT_DEADLINE_MS = 600_000L

/**
 * Request for a completion or, with [messages], for a chat completion.
 *
 * @property deadlineMs milliseconds from the receipt of the request after which it is removed.
 * @property firstPiece number of the first piece to generate, from 0.
 * @property deliveredText text of the pieces before [firstPiece], which is prefilled after the prompt.
 * @property gangTokens tokens of the prompt that segments at other engines hold; they are neither prefilled nor held here.
 */
@Serializable
internal class CompletionRequest(
    val model: String,
    val prompt: String? = null,
    val messages: JsonArray? = null,
    val maxTokens: Int = DEFAULT_MAX_TOKENS,
    val requestId: String,
    val owner: String = "",
    val epoch: Long? = null,
    val priority: Int = 0,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
    val firstPiece: Int = 0,
    val deliveredText: String = "",
    val gangId: String? = null,
    val gangTokens: Long = 0,
)

/** Request to prefill and hold one part of a prompt. */
@Serializable
internal class SegmentRequest(
    val requestId: String,
    val gangId: String,
    val index: Int = 0,
    val owner: String = "",
    val epoch: Long? = null,
    val text: String,
    val priority: Int = 0,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
)

/** Request to export the KV cache of the request or segment [requestId]. */
@Serializable
internal class ExportRequest(
    val requestId: String,
    val owner: String = "",
    val epoch: Long? = null,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
)

/** Request to import an exported KV cache from the engine at [from]. */
@Serializable
internal class ImportRequest(
    val handle: String,
    val from: String,
    val requestId: String = "",
)

/** Requested model, version, adapters and role of an engine. */
@Serializable
internal class OrderRequest(
    val epoch: Long? = null,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "",
)

/** Response to a cancellation; [cancelled] is false if there was no such request. */
@Serializable
internal class Cancelled(
    val cancelled: Boolean,
)

/** Response to a segment or an import, with the tokens that are held or were cached. */
@Serializable
internal class TokenCount(
    val tokens: Long,
)

/** Response to the release of a gang, with the number of segments. */
@Serializable
internal class ReleasedSegments(
    val released: Int,
)

/** Response to the release of an export; [released] is false if there was no such export. */
@Serializable
internal class ReleasedExport(
    val released: Boolean,
)

/** Response to an export, with the handle by which it is imported and released. */
@Serializable
internal class Exported(
    val handle: String,
    val tokens: Long,
)

/** Contents of an export: its length and the hashes of its whole blocks. */
@Serializable
internal class ExportBody(
    val tokens: Long,
    val blocks: List<Long>,
)

/** A request, segment or export that holds memory or waits for it; [deadlineMs] is the time left, in milliseconds. */
@Serializable
internal data class HeldBody(
    val kind: String,
    val id: String,
    val owner: String,
    val epoch: Long,
    val tokens: Long,
    val prefillTokensLeft: Long,
    val deadlineMs: Long,
)

/** All requests, segments and exports that hold memory or wait for it. */
@Serializable
internal data class RequestsBody(
    val incarnation: String,
    val warm: Boolean,
    val items: List<HeldBody>,
)

/** Load report, [ageMs] milliseconds old. */
@Serializable
internal data class LoadBody(
    val incarnation: String,
    val warm: Boolean,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val role: String,
    val kvTokens: Long,
    val kvUsedTokens: Long,
    val running: Int,
    val waiting: Int,
    val waitingPrefillTokens: Long,
    val ageMs: Long = 0,
)

/** Changes of the prefix cache; [last] is the sequence number to read on from. */
@Serializable
internal class CacheEventsBody(
    val last: Long,
    val events: List<CacheEvent>,
)

/** Model, version, adapters and role that an engine has loaded. */
@Serializable
internal data class LoadedState(
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val role: String = "",
)
