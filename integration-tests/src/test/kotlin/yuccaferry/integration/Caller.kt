// A caller of the completions API, which records what it was given and whether it looked complete.
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

/** What a caller of [prompt] was given. */
internal class Answer(
    private val prompt: String,
    private val pieces: Int,
    val status: Int,
) {
    val text = StringBuilder()

    /** Whether the answer ended with a finish reason and the mark of the end. */
    var complete = false

    /** Error code, if an error was given. */
    var error: String? = null

    /** Whether the request ran, as the error says. */
    var execution: String? = null

    /** Whether the text is the whole and only answer to the prompt. */
    val whole: Boolean get() = complete && text.toString() == PieceText.answer(MODEL, prompt, pieces)

    /** Whether the text is the start of the answer, without a change. */
    val truePrefix: Boolean get() = PieceText.answer(MODEL, prompt, pieces).startsWith(text)

    override fun toString() = "status=$status complete=$complete error=$error execution=$execution text=\"$text\""
}

/** Sends requests to the daemon at [address]. */
internal class Caller(
    private val address: String,
) {
    /** Streams a completion; [onPiece] is called with the number of pieces received, and ends the call with false. */
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
                if (response.statusCode() == 200) read(reader, answer, onPiece) else refused(reader.readText(), answer)
            } catch (e: IOException) {
                answer.error = "connection broke: ${e.message}"
            }
        }
        return answer
    }

    /** Starts a call whose answer nobody reads; cancelling it closes the connection. */
    fun later(
        prompt: String,
        pieces: Int,
        stream: Boolean,
    ): CompletableFuture<HttpResponse<String>> {
        val request = HttpCalls.request(address, "/v1/completions", headers(null)).POST(body(prompt, pieces, stream)).build()
        return HttpCalls.client.sendAsync(request, BodyHandlers.ofString())
    }

    /** Asks for a completion in one body. */
    fun whole(
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
            accept(Json.parseToJsonElement(response.body()).jsonObject, answer)
        } else {
            refused(response.body(), answer)
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
            if ("error" in event) return refused(data, answer)
            finished = accept(event, answer)
            if (!finished && !onPiece(++received)) return
        }
    }

    private fun accept(
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

    private fun refused(
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
