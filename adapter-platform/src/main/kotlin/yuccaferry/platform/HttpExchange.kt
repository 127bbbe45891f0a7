/*
 * One HTTP exchange with a service of the platform. The result says whether any byte of the request
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

/** How one HTTP exchange ended. */
internal sealed interface Exchange {
    /** The service answered with [status] and [body]. */
    data class Answered(
        val status: Int,
        val body: String,
    ) : Exchange

    /** No connection could be made, so no byte was sent. */
    data class NotConnected(
        val message: String,
    ) : Exchange

    /** The connection was made, or may have been, and no whole answer arrived. */
    data class Lost(
        val message: String,
    ) : Exchange
}

/** Makes HTTP exchanges that each end within [timeoutMillis]. */
internal class HttpExchange(
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
    ): Exchange = exchange { client.get("http://$address$path") }

    suspend fun postJson(
        address: Address,
        path: String,
        json: String,
    ): Exchange =
        exchange {
            client.post("http://$address$path") { setBody(TextContent(json, ContentType.Application.Json)) }
        }

    private suspend fun exchange(send: suspend () -> HttpResponse): Exchange =
        try {
            withTimeoutOrNull(timeoutMillis) {
                val response = send()
                Exchange.Answered(response.status.value, response.bodyAsText())
            } ?: Exchange.Lost("no answer within $timeoutMillis ms")
        } catch (e: CancellationException) {
            // A cancelled connection is a lost answer; a cancelled caller is not.
            currentCoroutineContext().ensureActive()
            Exchange.Lost(describe(e))
        } catch (e: Exception) {
            if (failedToConnect(e)) Exchange.NotConnected(describe(e)) else Exchange.Lost(describe(e))
        }

    override fun close() = client.close()
}

private fun failedToConnect(e: Throwable): Boolean =
    generateSequence(e) { it.cause }.any {
        it is ConnectException || it is FailToConnectException || it is NoRouteToHostException ||
            it is UnresolvedAddressException || it is UnknownHostException
    }

private fun describe(e: Throwable) = "${e::class.simpleName}: ${e.message}"
