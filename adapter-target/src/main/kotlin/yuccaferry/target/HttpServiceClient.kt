/*
 * Adapter for plain services: passes one HTTP exchange through. OkHttp is the engine here because it reports an answer
 * that is cut within a chunk as an error; Ktor's CIO engine takes it for the end of the body.
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

/** Headers that belong to one connection (RFC 9110 section 7.6.1) or are set by the client itself. */
private val CONNECTION_HEADERS =
    setOf("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "content-type", "expect")

/** Headers that the daemon sets and callers can't. */
private val OWN_HEADERS = setOf("authorization", "x-request-id", "idempotency-key", "x-deadline-ms", "traceparent")

private const val MAX_CALLS = 20_000
private const val CONNECT_TIMEOUT_MILLIS = 2_000L
private const val UNAVAILABLE = 503
private const val RETRY_AFTER = "Retry-After"

/** Talks to plain services. Every call has a connection of its own and is sent once, whatever its method. */
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
                    forwarded(call.headers).forEach { header(it.name, it.value) }
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
                        it.name.lowercase() !in CONNECTION_HEADERS || isType(it)
                    },
                    response.bodyAsBytes(),
                ),
            )
        }

    private fun forwarded(headers: List<Header>) =
        headers.filter {
            val name = it.name.lowercase()
            name !in CONNECTION_HEADERS && name !in OWN_HEADERS
        }

    private fun isType(header: Header) = header.name.equals(HttpHeaders.ContentType, ignoreCase = true)

    private fun contentTypeOf(call: ServiceCall): ContentType? =
        call.headers.firstOrNull { isType(it) }?.let { ContentType.parse(it.value) }
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
                dispatcher(manyCalls())
                addNetworkInterceptor(NoRepeat)
            }
        }
    }

private fun manyCalls() =
    Dispatcher().apply {
        maxRequests = MAX_CALLS
        maxRequestsPerHost = MAX_CALLS
    }

/** OkHttp sends a call again by itself after a 503 with `Retry-After: 0`; it is told a second instead. */
private object NoRepeat : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val repeats = response.code == UNAVAILABLE && response.header(RETRY_AFTER) == "0"
        return if (repeats) response.newBuilder().header(RETRY_AFTER, "1").build() else response
    }
}
