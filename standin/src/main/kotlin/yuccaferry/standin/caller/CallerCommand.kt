/*
 * Stand-ins of callers. Each sends one request to a daemon, prints the result in one line, and exits with status 0
 * if the response is the expected one, and 1 otherwise.
 */
package yuccaferry.standin.caller

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import yuccaferry.standin.engine.PieceText
import yuccaferry.standin.standInJson
import kotlin.system.exitProcess

private const val CHARACTERS_PER_TOKEN = 4
private const val NANOS_PER_MILLI = 1_000_000
private const val EXIT_FAILURE = 1

/** Sends one prompt, reads the streamed answer and compares it with the one that the engine stand-in generates. */
@OptIn(ExperimentalCli::class)
internal class PromptCommand : Subcommand("prompt", "Caller that sends one prompt and checks the answer") {
    private val target by option(ArgType.String, "target", description = "HOST:PORT of a daemon").required()
    private val key by option(ArgType.String, "key", description = "API key of the demonstration account").required()
    private val model by option(ArgType.String, "model", description = "Model").required()
    private val tokens by option(ArgType.Int, "tokens", description = "Length of the prompt in tokens").default(1_000)
    private val pieces by option(ArgType.Int, "pieces", description = "Length of the answer in tokens").default(20)
    private val label by option(ArgType.String, "label", description = "Text that is repeated to fill the prompt").default("prompt")

    override fun execute() {
        val prompt = (label + " ").repeat(tokens * CHARACTERS_PER_TOKEN / (label.length + 1) + 1).take(tokens * CHARACTERS_PER_TOKEN)
        val result = runBlocking { sendPrompt(prompt) }
        val complete = result.text == PieceText.answer(model, prompt, pieces)
        println(
            "tokens=$tokens status=${result.status} first_token_ms=${result.firstMillis} total_ms=${result.totalMillis} " +
                "pieces=${result.pieces} whole_answer=$complete",
        )
        if (!complete) exitProcess(EXIT_FAILURE)
    }

    private suspend fun sendPrompt(prompt: String): PromptResult {
        val body =
            buildJsonObject {
                put("model", model)
                put("prompt", prompt)
                put("max_tokens", pieces)
                put("stream", true)
            }
        return callerClient().use { client ->
            val started = System.nanoTime()
            val statement =
                client.preparePost("http://$target/v1/completions") {
                    header("Authorization", "Bearer $key")
                    contentType(ContentType.Application.Json)
                    setBody(body.toString())
                }
            statement.execute { readAnswer(it, started) }
        }
    }

    private suspend fun readAnswer(
        response: HttpResponse,
        started: Long,
    ): PromptResult {
        val result = PromptResult(response.status.value)
        if (!response.status.isSuccess()) {
            System.err.println(response.bodyAsText())
            return result
        }
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readLine() ?: break
            if (!line.startsWith("data: {")) continue
            val text = pieceText(line.removePrefix("data: "))
            if (text.isEmpty()) continue
            if (result.pieces == 0) result.firstMillis = (System.nanoTime() - started) / NANOS_PER_MILLI
            result.pieces++
            result.text += text
        }
        result.totalMillis = (System.nanoTime() - started) / NANOS_PER_MILLI
        return result
    }

    private fun pieceText(data: String): String {
        val choices = standInJson.parseToJsonElement(data).jsonObject["choices"] ?: return ""
        val choice = choices.jsonArray.first().jsonObject
        return choice["text"]?.jsonPrimitive?.content.orEmpty()
    }
}

private class PromptResult(
    val status: Int,
) {
    var firstMillis = 0L
    var totalMillis = 0L
    var pieces = 0
    var text = ""
}

/** Makes one booking with an idempotency key; any successful status counts as expected. */
@OptIn(ExperimentalCli::class)
internal class BookingCommand : Subcommand("booking", "Caller that makes one booking with an idempotency key") {
    private val target by option(ArgType.String, "target", description = "HOST:PORT of a daemon").required()
    private val key by option(ArgType.String, "key", description = "API key of the demonstration account").required()
    private val service by option(ArgType.String, "service", description = "Plain service").required()
    private val idempotencyKey by option(ArgType.String, "idempotency-key", description = "Key of the booking").required()

    override fun execute() {
        val success =
            runBlocking {
                callerClient().use { client ->
                    val statement =
                        client.preparePost("http://$target/services/$service/bookings") {
                            header("Authorization", "Bearer $key")
                            header("Idempotency-Key", idempotencyKey)
                            contentType(ContentType.Application.Json)
                            setBody("""{"deposit":40}""")
                        }
                    statement.execute { response ->
                        println("status=${response.status.value} body=${response.bodyAsText()}")
                        response.status.isSuccess()
                    }
                }
            }
        if (!success) exitProcess(EXIT_FAILURE)
    }
}

private fun callerClient() =
    HttpClient(CIO) {
        expectSuccess = false
        engine { requestTimeout = 0 }
    }
