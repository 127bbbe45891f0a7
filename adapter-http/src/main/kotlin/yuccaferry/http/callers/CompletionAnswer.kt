// Response bodies of completions and chat completions, in the format of the OpenAI API.
package yuccaferry.http.callers

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import yuccaferry.daemon.port.Usage
import yuccaferry.model.RequestId

/** Builds the response bodies for one request. */
internal class CompletionAnswer(
    private val id: RequestId,
    private val request: CompletionRequest,
    private val createdSeconds: Long,
) {
    /** Returns one event of a streamed response. */
    fun textChunk(text: String): JsonObject = chunk(text, finishReason = null, usage = null)

    /** Returns the last event of a streamed response. */
    fun lastChunk(
        finishReason: String,
        usage: Usage,
    ): JsonObject = chunk("", finishReason, usage)

    /** Returns the body of a response that is not streamed. */
    fun whole(
        text: String,
        finishReason: String,
        usage: Usage,
    ): JsonObject =
        buildJsonObject {
            head(if (isChat) "chat.completion" else "text_completion")
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    if (isChat) message("message", text, withRole = true) else put("text", text)
                    put("finish_reason", finishReason)
                }
            }
            usage(usage)
        }

    private val isChat get() = request.kind == CompletionKind.CHAT

    private fun chunk(
        text: String,
        finishReason: String?,
        usage: Usage?,
    ): JsonObject =
        buildJsonObject {
            head(if (isChat) "chat.completion.chunk" else "text_completion")
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    if (isChat) message("delta", text, withRole = false) else put("text", text)
                    if (finishReason == null) put("finish_reason", JsonNull) else put("finish_reason", finishReason)
                }
            }
            usage?.let { usage(it) }
        }

    private fun JsonObjectBuilder.head(type: String) {
        put("id", id.value)
        put("object", type)
        put("created", createdSeconds)
        put("model", request.model.value)
    }

    private fun JsonObjectBuilder.message(
        name: String,
        text: String,
        withRole: Boolean,
    ) {
        putJsonObject(name) {
            if (withRole) put("role", "assistant")
            put("content", text)
        }
    }

    private fun JsonObjectBuilder.usage(usage: Usage) {
        putJsonObject("usage") {
            put("prompt_tokens", usage.promptTokens)
            put("completion_tokens", usage.completionTokens)
            put("total_tokens", usage.promptTokens + usage.completionTokens)
            putJsonObject("prompt_tokens_details") { put("cached_tokens", usage.cachedTokens) }
        }
    }
}
