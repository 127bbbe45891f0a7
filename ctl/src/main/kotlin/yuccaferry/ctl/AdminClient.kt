/*
 * Calls the admin API. The next daemon is tried only if nothing was sent to the one before: whether a
 * request that was sent can be repeated safely depends on the request, so that is left to the caller.
 */
package yuccaferry.ctl

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import kotlinx.serialization.SerializationException
import yuccaferry.model.AttemptId
import yuccaferry.model.admin.ATTEMPT_HEADER
import yuccaferry.model.admin.AdminError
import yuccaferry.model.admin.AdminErrorCode
import yuccaferry.model.admin.AdminJson
import yuccaferry.model.admin.ErrorAnswer
import yuccaferry.model.json.decodeBounded
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

private const val CONNECT_MILLIS = 2_000L
private const val REQUEST_MILLIS = 30_000L

/** Reason why a call was not answered as asked. */
internal sealed interface CallError {
    /** No daemon could be reached; nothing was sent. */
    data class Unreachable(
        val message: String,
    ) : CallError

    /** The request was sent, but no complete and readable answer arrived. */
    data class Lost(
        val message: String,
    ) : CallError

    /** The daemon answered with an error. */
    data class Refused(
        val error: AdminError,
    ) : CallError
}

internal class AdminClient(
    private val addresses: List<String>,
    private val token: String,
) : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            install(HttpTimeout) {
                connectTimeoutMillis = CONNECT_MILLIS
                requestTimeoutMillis = REQUEST_MILLIS
            }
        }

    suspend inline fun <reified T> get(path: String): Result<T, CallError> = call(HttpMethod.Get, path).decode()

    suspend inline fun <reified T> post(
        path: String,
        body: String = "",
        attempt: AttemptId? = null,
    ): Result<T, CallError> = call(HttpMethod.Post, path, body, attempt).decode()

    suspend fun call(
        method: HttpMethod,
        path: String,
        body: String = "",
        attempt: AttemptId? = null,
    ): Result<String, CallError> {
        val failures = mutableListOf<String>()
        for (address in addresses) {
            try {
                return answerOf(send(address, method, path, body, attempt))
            } catch (e: IOException) {
                failures += "$address: ${e.message ?: e::class.simpleName}"
                if (!isUnsent(e)) return Err(CallError.Lost(failures.last()))
            } catch (e: UnresolvedAddressException) {
                failures += "$address: unknown host"
            }
        }
        return Err(CallError.Unreachable(failures.joinToString("; ")))
    }

    override fun close() = http.close()

    private suspend fun send(
        address: String,
        method: HttpMethod,
        path: String,
        body: String,
        attempt: AttemptId?,
    ): HttpResponse =
        http.request(address + path) {
            this.method = method
            header("Authorization", "Bearer $token")
            attempt?.let { header(ATTEMPT_HEADER, it.value) }
            if (method == HttpMethod.Post) setBody(body)
            timeout { requestTimeoutMillis = REQUEST_MILLIS }
        }

    private suspend fun answerOf(response: HttpResponse): Result<String, CallError> {
        val text = response.bodyAsText()
        if (response.status.isSuccess()) return Ok(text)
        val error =
            try {
                AdminJson.decodeBounded<ErrorAnswer>(text).error
            } catch (e: SerializationException) {
                AdminError(AdminErrorCode.INTERNAL, "the daemon answered ${response.status}")
            }
        return Err(CallError.Refused(error))
    }

    private fun isUnsent(e: IOException) = e is ConnectException || e is ConnectTimeoutException
}

internal inline fun <reified T> Result<String, CallError>.decode(): Result<T, CallError> =
    flatMap { text ->
        try {
            Ok(AdminJson.decodeBounded<T>(text))
        } catch (e: SerializationException) {
            Err(CallError.Lost("the answer can't be decoded: ${e.message}"))
        }
    }
