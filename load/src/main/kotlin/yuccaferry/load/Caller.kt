/*
 * Sends single requests as a caller of the service would, and reads each answer to its end. Every failure of a
 * request is returned as its [Ending], not thrown.
 */
package yuccaferry.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.JsonPrimitive
import java.io.IOException

private const val MAX_CONNECTIONS = 4_096
private const val CONNECT_TIMEOUT_MILLIS = 5_000L
private const val KEEP_ALIVE_MILLIS = 2_000L
private const val EVENT_PREFIX = "data:"
private const val MESSAGE_LENGTH = 100

// Error codes of failures that this client detects itself, without an error object in the answer.
internal const val CODE_TIMEOUT = "client_timeout"
internal const val CODE_CONNECTION = "connection"
internal const val CODE_CUT = "answer_cut"

/** The HTTP client of all requests of a run. */
internal fun loadClient() =
    HttpClient(CIO) {
        expectSuccess = false
        engine {
            maxConnectionsCount = MAX_CONNECTIONS
            requestTimeout = 0
            endpoint {
                maxConnectionsPerRoute = MAX_CONNECTIONS
                connectTimeout = CONNECT_TIMEOUT_MILLIS
                keepAliveTime = KEEP_ALIVE_MILLIS
            }
        }
    }

/**
 * Sends the requests of one run.
 *
 * @param daemons base addresses of the daemons' ports for callers, used in turn.
 * @param now nanoseconds from the start of the run.
 * @param expected text of the complete answer to a prompt, null when it is not known.
 */
internal class Caller(
    private val experiment: Experiment,
    private val seed: Long,
    private val client: HttpClient,
    private val daemons: List<String>,
    private val timeoutMillis: Long,
    private val now: () -> Long,
    private val gaps: GapRecorder,
    private val expected: (prompt: String, pieces: Int) -> String?,
) {
    /** Sends [request] and returns its outcome. */
    suspend fun send(request: PlannedRequest): Outcome {
        val sent = now()
        return try {
            withTimeout(timeoutMillis) {
                when (request) {
                    is PlannedPrompt -> sendPrompt(request, sent)
                    is PlannedBooking -> sendBooking(request, sent)
                    is PlannedLookup -> sendLookup(request, sent)
                }
            }
        } catch (e: TimeoutCancellationException) {
            failedOutcome(request, sent, CODE_TIMEOUT, "no end after $timeoutMillis ms")
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            failedOutcome(request, sent, CODE_CONNECTION, e.toString())
        } catch (e: IllegalStateException) {
            failedOutcome(request, sent, CODE_CONNECTION, e.toString())
        }
    }

    private suspend fun sendPrompt(
        request: PlannedPrompt,
        sent: Long,
    ): Outcome {
        val text = textOf(request, seed, experiment.threads.sharedPart)
        val call =
            client.preparePost("${addressFor(request)}/v1/completions") {
                header(HttpHeaders.Authorization, "Bearer ${request.account.key}")
                contentType(ContentType.Application.Json)
                setBody(completionBody(experiment.model, text, request.answerTokens))
            }
        return call.execute { response ->
            if (response.status.isSuccess()) readStream(request, text, sent, response) else readError(request, sent, response)
        }
    }

    private suspend fun readStream(
        request: PlannedPrompt,
        prompt: String,
        sent: Long,
        response: HttpResponse,
    ): Outcome {
        val stream = AnswerStream(now, gaps.of(request.lengthClass))
        val channel = response.bodyAsChannel()
        while (!stream.ended) {
            val line = channel.readLine() ?: break
            if (!line.startsWith(EVENT_PREFIX)) continue
            stream.accept(line.removePrefix(EVENT_PREFIX).trim())
        }
        val ending = stream.ending(expected(prompt, request.answerTokens))
        return Outcome(request, ending, sent, stream.firstTokenNanos, now(), stream.pieces, stream.cachedTokens)
    }

    private suspend fun sendBooking(
        request: PlannedBooking,
        sent: Long,
    ): Outcome {
        val response =
            client.post("${addressFor(request)}/services/${experiment.service}/bookings") {
                header(HttpHeaders.Authorization, "Bearer ${request.account.key}")
                header("Idempotency-Key", request.key)
                contentType(ContentType.Application.Json)
                setBody("""{"booking":"${request.key}"}""")
            }
        return readAnswer(request, sent, response, mustContain = request.key)
    }

    private suspend fun sendLookup(
        request: PlannedLookup,
        sent: Long,
    ): Outcome {
        val path = "/status/$seed-${request.number}"
        val response =
            client.get("${addressFor(request)}/services/${experiment.service}$path") {
                header(HttpHeaders.Authorization, "Bearer ${request.account.key}")
            }
        return readAnswer(request, sent, response, mustContain = path)
    }

    private suspend fun readAnswer(
        request: PlannedRequest,
        sent: Long,
        response: HttpResponse,
        mustContain: String,
    ): Outcome {
        if (!response.status.isSuccess()) return readError(request, sent, response)
        val body = response.bodyAsText()
        val ending = if (mustContain in body) Ending.Complete else Ending.Wrong("no $mustContain in ${body.take(MESSAGE_LENGTH)}")
        val end = now()
        return Outcome(request, ending, sent, end, end)
    }

    private suspend fun readError(
        request: PlannedRequest,
        sent: Long,
        response: HttpResponse,
    ): Outcome {
        val error = errorOf(response.bodyAsText()) ?: AnswerError("http_${response.status.value}")
        return Outcome(request, Ending.Failed(error.code, error.message, error.execution), sent, null, now())
    }

    private fun failedOutcome(
        request: PlannedRequest,
        sent: Long,
        code: String,
        message: String,
    ) = Outcome(request, Ending.Failed(code, message), sent, null, now())

    private fun addressFor(request: PlannedRequest) = daemons[request.number.mod(daemons.size)]
}

/** Body of a completion request; [prompt] is plain ASCII without quotes, so it needs no escaping. */
private fun completionBody(
    model: String,
    prompt: String,
    maxTokens: Int,
): ByteArray = """{"model":${JsonPrimitive(model)},"stream":true,"max_tokens":$maxTokens,"prompt":"$prompt"}""".encodeToByteArray()
