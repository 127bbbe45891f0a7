/*
 * Adapter for plain services: forwards one HTTP exchange. It uses OkHttp because that reports a response that is
 * truncated within a chunk as an error; Ktor's CIO engine treats the truncation as the end of the body.
 */
package yuccaferry.target

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.util.flattenEntries
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.Interceptor
import okhttp3.Response
import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.ServiceCall
import yuccaferry.daemon.port.ServiceClient
import yuccaferry.daemon.port.TargetError
import yuccaferry.model.Target
import java.util.concurrent.TimeUnit

/** Headers of a single connection (RFC 9110 section 7.6.1) and headers that the HTTP client sets itself. */
private val CONNECTION_HEADERS =
    setOf("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "content-type", "expect")

/** Headers that the daemon sets; the caller's are not forwarded. */
private val DAEMON_HEADERS = setOf("authorization", "x-request-id", "idempotency-key", "x-deadline-ms", "traceparent")

private const val MAX_CALLS = 20_000
private const val CONNECT_TIMEOUT_MILLIS = 2_000L
private const val UNAVAILABLE = 503
private const val RETRY_AFTER = "Retry-After"

/** Calls plain services. Every call has its own connection and is sent once, whatever its method. */
class HttpServiceClient :
    ServiceClient,
    AutoCloseable {
    private val client = serviceHttpClient()

    override fun close() = client.close()

    override suspend fun call(
        target: Target,
        call: ServiceCall,
    ): Result<ServiceAnswer, TargetError> =
        exchange(call.timeLeftMillis) {
            val response =
                client.request {
                    method = HttpMethod.parse(call.method)
                    url("http://${target.address}${call.path}")
                    forwardedHeaders(call.headers).forEach { header(it.name, it.value) }
                    header("X-Request-Id", call.request.value)
                    header("X-Deadline-Ms", call.timeLeftMillis)
                    call.idempotencyKey?.let { header("Idempotency-Key", it) }
                    call.traceparent?.let { header("traceparent", it) }
                    setBody(ByteArrayContent(call.body, contentTypeOf(call)))
                }
            val headers = response.headers.flattenEntries().map { (name, value) -> Header(name, value) }
            Ok(
                ServiceAnswer(
                    response.status.value,
                    headers.filter {
                        it.name.lowercase() !in CONNECTION_HEADERS || isContentType(it)
                    },
                    response.bodyAsBytes(),
                ),
            )
        }

    private fun forwardedHeaders(headers: List<Header>) =
        headers.filter {
            val name = it.name.lowercase()
            name !in CONNECTION_HEADERS && name !in DAEMON_HEADERS
        }

    private fun isContentType(header: Header) = header.name.equals(HttpHeaders.ContentType, ignoreCase = true)

    private fun contentTypeOf(call: ServiceCall): ContentType? =
        call.headers.firstOrNull { isContentType(it) }?.let { ContentType.parse(it.value) }
}

private fun serviceHttpClient(): HttpClient =
    HttpClient(OkHttp) {
        expectSuccess = false
        followRedirects = false
        engine {
            config {
                retryOnConnectionFailure(false)
                followRedirects(false)
                followSslRedirects(false)
                connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                readTimeout(0, TimeUnit.MILLISECONDS)
                writeTimeout(0, TimeUnit.MILLISECONDS)
                connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                dispatcher(callDispatcher())
                addNetworkInterceptor(NoRetryInterceptor)
            }
        }
    }

private fun callDispatcher() =
    Dispatcher().apply {
        maxRequests = MAX_CALLS
        maxRequestsPerHost = MAX_CALLS
    }

/** OkHttp retries a call by itself after a 503 with `Retry-After: 0`; this replaces the header's value by one second. */
private object NoRetryInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val retries = response.code == UNAVAILABLE && response.header(RETRY_AFTER) == "0"
        return if (retries) response.newBuilder().header(RETRY_AFTER, "1").build() else response
    }
}
