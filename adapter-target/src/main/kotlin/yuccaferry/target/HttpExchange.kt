/*
 * The HTTP client for targets and the mapping of its exceptions to [TargetError]. Each call has its own connection.
 * On a reused one, a call that fails because the target has just closed the connection could be mistaken for one
 * that may have run.
 */
package yuccaferry.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.daemon.port.TargetError
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

private const val MAX_CONNECTIONS = 20_000
private const val CONNECT_TIMEOUT_MILLIS = 2_000L

internal val targetJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }

/** Returns a client for [HttpEngineClient] and [HttpServiceClient]. */
fun targetHttpClient(): HttpClient =
    HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                maxConnectionsPerRoute = MAX_CONNECTIONS
                connectTimeout = CONNECT_TIMEOUT_MILLIS
                connectAttempts = 1
                pipelineMaxSize = 1
            }
        }
    }

/** Runs [exchange] with a timeout and maps its exceptions to [TargetError]. */
internal suspend fun <T> exchange(
    timeoutMillis: Long,
    exchange: suspend () -> Result<T, TargetError>,
): Result<T, TargetError> =
    try {
        withTimeoutOrNull(timeoutMillis) { exchange() } ?: Err(TargetError.TimedOut("no answer in $timeoutMillis ms"))
    } catch (e: CancellationException) {
        // Rethrows if the caller was cancelled. Otherwise only the connection was.
        currentCoroutineContext().ensureActive()
        Err(targetError(e))
    } catch (e: Exception) {
        Err(targetError(e))
    }

/** Maps [e] to a [TargetError], according to whether bytes of the request may have been sent when it was thrown. */
internal fun targetError(e: Exception): TargetError =
    when (e) {
        is ConnectException, is ConnectTimeoutException, is UnresolvedAddressException -> {
            TargetError.NotSent("could not connect: ${e.message}")
        }

        is SerializationException -> {
            TargetError.Broken("malformed answer: ${e.message}")
        }

        else -> {
            TargetError.Broken("connection broke: ${e::class.simpleName}: ${e.message}")
        }
    }

/** Returns the body of [response] when its status is a success, otherwise the target's error. */
internal suspend fun bodyOf(response: HttpResponse): Result<String, TargetError> =
    if (response.status.isSuccess()) Ok(response.bodyAsText()) else Err(rejection(response))

/** Reads the target's error from [response], whose status is not a success. */
internal suspend fun rejection(response: HttpResponse): TargetError {
    val text = response.bodyAsText()
    val error =
        try {
            targetJson.decodeFromString<ErrorEnvelope>(text).error
        } catch (e: SerializationException) {
            ErrorBody(code = "http_${response.status.value}", message = e.message.orEmpty())
        }
    return TargetError.Rejected(response.status.value, error.code, error.message)
}
