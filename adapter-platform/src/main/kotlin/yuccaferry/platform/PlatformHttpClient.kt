/*
 * HTTP client for the platform's services. The result of an exchange says whether any byte of the request
 * can have reached the service, which decides whether a write may have taken effect.
 */
package yuccaferry.platform

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.FailToConnectException
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.content.TextContent
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.model.Address
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.net.UnknownHostException
import java.nio.channels.UnresolvedAddressException

/** The result of one HTTP exchange. */
internal sealed interface ExchangeResult {
    /** The service answered with [status] and [body]. */
    data class Answered(
        val status: Int,
        val body: String,
    ) : ExchangeResult

    /** No connection could be made, so no byte was sent. */
    data class NotConnected(
        val message: String,
    ) : ExchangeResult

    /** The connection was made, or may have been, but no complete response arrived. */
    data class ResponseLost(
        val message: String,
    ) : ExchangeResult
}

/** Makes HTTP exchanges, each of which ends within [timeoutMillis], connecting included. */
internal class PlatformHttpClient(
    private val timeoutMillis: Long,
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                requestTimeout = 0
                endpoint {
                    connectAttempts = 1
                    connectTimeout = timeoutMillis
                }
            }
        }

    suspend fun get(
        address: Address,
        path: String,
    ): ExchangeResult = execute { client.get("http://$address$path") }

    suspend fun postJson(
        address: Address,
        path: String,
        json: String,
    ): ExchangeResult =
        execute {
            client.post("http://$address$path") { setBody(TextContent(json, ContentType.Application.Json)) }
        }

    private suspend fun execute(send: suspend () -> HttpResponse): ExchangeResult =
        try {
            withTimeoutOrNull(timeoutMillis) {
                val response = send()
                ExchangeResult.Answered(response.status.value, response.bodyAsText())
            } ?: ExchangeResult.ResponseLost("no answer within $timeoutMillis ms")
        } catch (e: CancellationException) {
            // Rethrows if the caller was cancelled. Otherwise only the connection was, which counts as a lost response.
            currentCoroutineContext().ensureActive()
            ExchangeResult.ResponseLost(describe(e))
        } catch (e: Exception) {
            if (failedToConnect(e)) ExchangeResult.NotConnected(describe(e)) else ExchangeResult.ResponseLost(describe(e))
        }

    override fun close() = client.close()
}

private fun failedToConnect(e: Throwable): Boolean =
    generateSequence(e) { it.cause }.any {
        it is ConnectException || it is FailToConnectException || it is NoRouteToHostException ||
            it is UnresolvedAddressException || it is UnknownHostException
    }

private fun describe(e: Throwable) = "${e::class.simpleName}: ${e.message}"
