// A client of the completions API that records each answer and whether it was marked as complete.
package yuccaferry.integration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import yuccaferry.standin.engine.PieceText
import java.io.BufferedReader
import java.io.IOException
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CompletableFuture

private const val DATA = "data: "
private const val END = "[DONE]"

/** The answer that a caller received for [prompt]. */
internal class Answer(
    private val prompt: String,
    private val pieces: Int,
    val status: Int,
) {
    val text = StringBuilder()

    /** Whether the answer ended with a finish reason and the end marker. */
    var complete = false

    /** Error code of the answer, or a description of how the connection broke; null if there was no error. */
    var error: String? = null

    /** Whether the request ran, as the error reports it; null if it does not. */
    var execution: String? = null

    /** Whether the text is exactly the whole answer to the prompt. */
    val whole: Boolean get() = complete && text.toString() == PieceText.answer(MODEL, prompt, pieces)

    /** Whether the text is an unchanged prefix of the answer. */
    val isExactPrefix: Boolean get() = PieceText.answer(MODEL, prompt, pieces).startsWith(text)

    override fun toString() = "status=$status complete=$complete error=$error execution=$execution text=\"$text\""
}

/** Sends requests to the daemon at [address]. */
internal class Caller(
    private val address: String,
) {
    /** Streams a completion; calls [onPiece] with the number of pieces received, and ends the call when it returns false. */
    fun stream(
        prompt: String,
        pieces: Int = 20,
        deadlineMillis: Long? = null,
        onPiece: (Int) -> Boolean = { true },
    ): Answer {
        val request =
            HttpCalls
                .request(
                    address,
                    "/v1/completions",
                    headers(deadlineMillis),
                ).POST(body(prompt, pieces, stream = true))
                .build()
        val response = HttpCalls.client.send(request, BodyHandlers.ofInputStream())
        val answer = Answer(prompt, pieces, response.statusCode())
        response.body().bufferedReader().use { reader ->
            try {
                if (response.statusCode() == 200) read(reader, answer, onPiece) else readError(reader.readText(), answer)
            } catch (e: IOException) {
                answer.error = "connection broke: ${e.message}"
            }
        }
        return answer
    }

    /** Starts a call without waiting for its answer; cancelling the future closes the connection. */
    fun startCompletion(
        prompt: String,
        pieces: Int,
        stream: Boolean,
    ): CompletableFuture<HttpResponse<String>> {
        val request = HttpCalls.request(address, "/v1/completions", headers(null)).POST(body(prompt, pieces, stream)).build()
        return HttpCalls.client.sendAsync(request, BodyHandlers.ofString())
    }

    /** Requests a completion in one response body. */
    fun completion(
        prompt: String,
        pieces: Int = 20,
        deadlineMillis: Long? = null,
    ): Answer {
        val request =
            HttpCalls
                .request(
                    address,
                    "/v1/completions",
                    headers(deadlineMillis),
                ).POST(body(prompt, pieces, stream = false))
                .build()
        val response = HttpCalls.client.send(request, BodyHandlers.ofString())
        val answer = Answer(prompt, pieces, response.statusCode())
        if (response.statusCode() ==
            200
        ) {
            appendChoice(Json.parseToJsonElement(response.body()).jsonObject, answer)
        } else {
            readError(response.body(), answer)
        }
        answer.complete = response.statusCode() == 200
        return answer
    }

    private fun read(
        reader: BufferedReader,
        answer: Answer,
        onPiece: (Int) -> Boolean,
    ) {
        var received = 0
        var finished = false
        while (true) {
            val line = reader.readLine() ?: return
            if (!line.startsWith(DATA)) continue
            val data = line.removePrefix(DATA)
            if (data == END) {
                answer.complete = finished
                return
            }
            val event = Json.parseToJsonElement(data).jsonObject
            if ("error" in event) return readError(data, answer)
            finished = appendChoice(event, answer)
            if (!finished && !onPiece(++received)) return
        }
    }

    private fun appendChoice(
        event: JsonObject,
        answer: Answer,
    ): Boolean {
        val choice =
            event
                .getValue("choices")
                .jsonArray
                .single()
                .jsonObject
        answer.text.append(choice.getValue("text").jsonPrimitive.content)
        return choice["finish_reason"]?.jsonPrimitive?.contentOrNull != null
    }

    private fun readError(
        body: String,
        answer: Answer,
    ) {
        val error =
            Json
                .parseToJsonElement(body)
                .jsonObject
                .getValue("error")
                .jsonObject
        answer.error = error.getValue("code").jsonPrimitive.content
        answer.execution = error["execution"]?.jsonPrimitive?.content
    }

    private fun headers(deadlineMillis: Long?) =
        mapOf("Authorization" to "Bearer $API_KEY") + listOfNotNull(deadlineMillis?.let { "X-Deadline-Ms" to "$it" })

    private fun body(
        prompt: String,
        pieces: Int,
        stream: Boolean,
    ) = BodyPublishers.ofString(
        buildJsonObject {
            put("model", MODEL)
            put("prompt", prompt)
            put("max_tokens", pieces)
            put("stream", stream)
        }.toString(),
    )
}
