// Adapter for plain services: passes one HTTP exchange through.
package yuccaferry.target

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
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
import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.port.ServiceCall
import yuccaferry.daemon.port.ServiceClient
import yuccaferry.daemon.port.TargetError
import yuccaferry.model.Target

/** Headers that belong to one connection (RFC 9110 section 7.6.1) or are set by the client itself. */
private val CONNECTION_HEADERS =
    setOf("connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "content-type", "expect")

/** Headers that the daemon sets and callers can't. */
private val OWN_HEADERS = setOf("authorization", "x-request-id", "idempotency-key", "x-deadline-ms", "traceparent")

/** Talks to plain services over [client]. */
class HttpServiceClient(
    private val client: HttpClient,
) : ServiceClient {
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
