// Requests of callers and their results, independent of HTTP.
package yuccaferry.daemon.request

import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.Prompt
import yuccaferry.daemon.port.Usage
import yuccaferry.model.AccountEntry
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Refusal
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName

/**
 * One admitted prompt.
 *
 * @property promptText text from which the token count is estimated and prefix hashes are computed.
 * @property deadline time by which the answer is complete or has failed.
 */
data class GenerationRequest(
    val id: RequestId,
    val account: AccountEntry,
    val model: ServiceName,
    val prompt: Prompt,
    val promptText: String,
    val maxTokens: Int,
    val deadline: MonotonicTime,
    val traceparent: String? = null,
)

/** Event of a generation that a caller receives; the last one is [Finished] or [Failed]. */
sealed interface GenerationEvent {
    data class Text(
        val text: String,
    ) : GenerationEvent

    data class Finished(
        val reason: String,
        val usage: Usage,
    ) : GenerationEvent

    data class Failed(
        val refusal: Refusal,
    ) : GenerationEvent
}

/**
 * One admitted call to a plain service.
 *
 * @property idempotencyKey the caller's key for a non-idempotent call; null when it gave none.
 */
class PlainCall(
    val id: RequestId,
    val account: AccountEntry,
    val service: ServiceName,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: ByteArray,
    val idempotencyKey: String?,
    val deadline: MonotonicTime,
    val traceparent: String? = null,
)
