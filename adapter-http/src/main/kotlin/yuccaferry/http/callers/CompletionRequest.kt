/*
 * Parses the body of a completions or chat completions request (OpenAI API). Fields that this layer does not use
 * are ignored, as clients send many; fields that it uses are validated and named in the error.
 */
package yuccaferry.http.callers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import yuccaferry.daemon.port.Prompt
import yuccaferry.model.Problem
import yuccaferry.model.ServiceName
import yuccaferry.model.json.depthProblem

private const val DEFAULT_MAX_TOKENS = 256
private const val MOST_MAX_TOKENS = 131_072

/** The endpoint that a request was sent to. */
internal enum class CompletionKind { TEXT, CHAT }

/**
 * A validated request body.
 *
 * @property promptText all text of the prompt, from which the token count is estimated and prefix hashes are computed.
 */
internal data class CompletionRequest(
    val kind: CompletionKind,
    val model: ServiceName,
    val prompt: Prompt,
    val promptText: String,
    val maxTokens: Int,
    val stream: Boolean,
)

/** Parses and validates [body]; the error is the first problem found. */
internal fun readCompletionRequest(
    kind: CompletionKind,
    body: String,
): Result<CompletionRequest, Problem> {
    depthProblem(body)?.let { return Err(it) }
    return try {
        when (val element = Json.parseToJsonElement(body)) {
            is JsonObject -> Ok(CompletionReader(kind, element).read())
            else -> Err(Problem("$", "an object", kindOf(element)))
        }
    } catch (e: SerializationException) {
        Err(Problem("$", "a JSON document", e.message?.lineSequence()?.first() ?: "malformed JSON"))
    } catch (e: ProblemException) {
        Err(e.problem)
    }
}

/** Ends nested reads with [problem]; [readCompletionRequest] catches it. */
private class ProblemException(
    val problem: Problem,
) : RuntimeException(problem.toString())

private class CompletionReader(
    private val kind: CompletionKind,
    private val body: JsonObject,
) {
    fun read(): CompletionRequest {
        val text: String
        val prompt: Prompt
        if (kind == CompletionKind.TEXT) {
            text = promptText(body["prompt"])
            prompt = Prompt.Text(text)
        } else {
            val messages = messages(body["messages"])
            text = messages.joinToString("\n") { messageText(it) }
            prompt = Prompt.Messages(messages.toString())
        }
        checkSingleChoice()
        return CompletionRequest(kind, model(), prompt, text, maxTokens(), stream())
    }

    private fun model(): ServiceName = ServiceName(string("$.model", body["model"]))

    private fun promptText(element: JsonElement?): String {
        if (element is JsonArray && element.size == 1) return string("$.prompt[0]", element[0])
        return string("$.prompt", element)
    }

    private fun messages(element: JsonElement?): JsonArray {
        if (element !is JsonArray || element.isEmpty()) fail("$.messages", "an array of messages that is not empty", element)
        element.forEachIndexed { i, message ->
            if (message !is JsonObject) fail("$.messages[$i]", "an object", message)
            string("$.messages[$i].role", message["role"])
            val content = message["content"]
            if (content !is JsonArray) string("$.messages[$i].content", content)
        }
        return element
    }

    private fun messageText(message: JsonElement): String {
        val content = (message as JsonObject)["content"]
        return (content as? JsonPrimitive)?.content ?: content.toString()
    }

    private fun maxTokens(): Int {
        val name = if (present("max_completion_tokens")) "max_completion_tokens" else "max_tokens"
        if (!present(name)) return DEFAULT_MAX_TOKENS
        val value = (body[name] as? JsonPrimitive)?.takeUnless { it.isString }?.intOrNull
        if (value == null || value !in 1..MOST_MAX_TOKENS) fail("$.$name", "a whole number from 1 to $MOST_MAX_TOKENS", body[name])
        return value
    }

    private fun stream(): Boolean {
        if (!present("stream")) return false
        return (body["stream"] as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
            ?: fail("$.stream", "true or false", body["stream"])
    }

    private fun checkSingleChoice() {
        if (!present("n")) return
        if ((body["n"] as? JsonPrimitive)?.intOrNull != 1) fail("$.n", "1", body["n"])
    }

    private fun present(name: String) = body[name] != null && body[name] !is JsonNull

    private fun string(
        path: String,
        element: JsonElement?,
    ): String {
        if (element !is JsonPrimitive || !element.isString) fail(path, "a string", element)
        return element.content
    }

    private fun fail(
        path: String,
        expected: String,
        found: JsonElement?,
    ): Nothing = throw ProblemException(Problem(path, expected, if (found is JsonPrimitive) found.toString() else kindOf(found)))
}

private fun kindOf(element: JsonElement?): String =
    when (element) {
        null -> "nothing"
        JsonNull -> "null"
        is JsonObject -> "an object"
        is JsonArray -> "an array of ${element.size}"
        is JsonPrimitive -> if (element.isString) "a string" else element.content
    }
