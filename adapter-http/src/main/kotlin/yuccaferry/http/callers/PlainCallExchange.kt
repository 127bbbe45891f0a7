// Forwards one call to a plain service and its response back; both bodies are read completely first.
package yuccaferry.http.callers

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.util.flattenEntries
import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.request.PlainCall
import yuccaferry.model.AccountEntry
import yuccaferry.model.Problem
import yuccaferry.model.RefusalCode
import yuccaferry.model.ServiceName

private const val MAX_KEY_CHARACTERS = 255

internal class PlainCallExchange(
    private val api: CallersApi,
    private val call: ApplicationCall,
) {
    private val id = call.newRequestId()
    private val service = ServiceName(call.parameters["service"].orEmpty())

    suspend fun run() {
        val account = api.authenticate(call, id) ?: return
        if (api
                .configuration()
                .file.services
                .none { it.name == service }
        ) {
            call.refuseWithoutLedgerCheck(id, unknownNameRefusal(RefusalCode.UNKNOWN_SERVICE, "service", service))
            return
        }
        val problem = headerProblem()
        if (problem != null) {
            call.refuse(id, invalidRequest(problem))
            return
        }
        call
            .bodyUpTo(api.bodyLimitBytes)
            .onFailure { call.refuse(id, it) }
            .onSuccess { forward(account, it) }
    }

    private suspend fun forward(
        account: AccountEntry,
        body: ByteArray,
    ) = api.withAdmission(call, id, account, service) { admitted ->
        val plainCall =
            PlainCall(
                id = id,
                account = account,
                service = service,
                method = call.request.httpMethod.value,
                path = call.request.uri.removePrefix("/services/$service"),
                headers =
                    call.request.headers
                        .flattenEntries()
                        .map { (name, value) -> Header(name, value) },
                body = body,
                idempotencyKey = call.request.header(IDEMPOTENCY_KEY_HEADER),
                deadline = api.deadline(call, admitted.deadline),
                traceparent = call.request.header("traceparent"),
            )
        api.plainCalls.call(plainCall).fold(
            success = { answer(it) },
            failure = { call.refuse(id, it) },
        )
    }

    private suspend fun answer(answer: ServiceAnswer) {
        val type = answer.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        answer.headers
            .filterNot { it === type || it.name.equals(REQUEST_ID_HEADER, ignoreCase = true) }
            .filterNot { HttpHeaders.isUnsafe(it.name) }
            .filter { isValid(it) }
            .forEach { call.response.header(it.name, it.value) }
        call.respondBytes(answer.body, type?.let { contentTypeOf(it.value) }, HttpStatusCode.fromValue(answer.status))
    }

    /** Whether HTTP allows [header]. The call has run, so its answer is delivered without those that HTTP doesn't allow. */
    private fun isValid(header: Header): Boolean =
        try {
            HttpHeaders.checkHeaderName(header.name)
            HttpHeaders.checkHeaderValue(header.value)
            true
        } catch (e: IllegalArgumentException) {
            false
        }

    private fun contentTypeOf(value: String): ContentType? =
        try {
            ContentType.parse(value)
        } catch (e: BadContentTypeFormatException) {
            null
        }

    private fun headerProblem(): Problem? {
        val key = call.request.header(IDEMPOTENCY_KEY_HEADER)
        if (key != null && (key.isBlank() || key.length > MAX_KEY_CHARACTERS)) {
            return Problem("header $IDEMPOTENCY_KEY_HEADER", "1 to $MAX_KEY_CHARACTERS characters, not all blank", "${key.length}")
        }
        val type = call.request.header(HttpHeaders.ContentType) ?: return null
        return if (contentTypeOf(type) == null) Problem("header Content-Type", "a media type", type) else null
    }
}
