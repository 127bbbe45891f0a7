// Shared by the handlers of the admin API: authentication, request bodies with a size limit, JSON responses.
package yuccaferry.http.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.RoutingHandler
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.io.readByteArray
import yuccaferry.model.admin.AdminError
import yuccaferry.model.admin.AdminErrorCode
import yuccaferry.model.admin.AdminJson
import yuccaferry.model.admin.ErrorAnswer

/** Maximum size of a request body, such as an operators' file. */
private const val MAX_BODY_BYTES = 8L * 1024 * 1024
private const val BEARER = "Bearer "

/** Ends a handler with [error] as the response. */
internal class AdminException(
    val error: AdminError,
) : Exception(error.message)

internal fun fail(
    code: AdminErrorCode,
    message: String,
): Nothing = throw AdminException(AdminError(code, message))

/** Returns a handler that runs [handler] for authenticated operators only and responds to failures with errors of the admin API. */
internal fun forOperators(
    operators: OperatorTokens,
    handler: suspend RoutingContext.(operator: String) -> Unit,
): RoutingHandler =
    {
        try {
            val header = call.request.headers[HttpHeaders.Authorization].orEmpty()
            val operator = if (header.startsWith(BEARER)) operators.operatorOf(header.substring(BEARER.length).trim()) else null
            if (operator == null) fail(AdminErrorCode.UNAUTHORISED, "the Authorization header has no valid operator's token")
            handler(operator)
        } catch (e: AdminException) {
            call.answerError(e.error)
        } catch (e: Throwable) {
            // A timeout inside the handler is a CancellationException too; only the cancellation of the call is rethrown.
            currentCoroutineContext().ensureActive()
            call.answerError(AdminError(AdminErrorCode.INTERNAL, "${e::class.simpleName}: ${e.message}"))
        }
    }

internal suspend fun ApplicationCall.bodyText(): String {
    val bytes = receiveChannel().readRemaining(MAX_BODY_BYTES + 1).readByteArray()
    if (bytes.size > MAX_BODY_BYTES) fail(AdminErrorCode.BODY_TOO_LARGE, "the body has more than $MAX_BODY_BYTES bytes")
    return bytes.decodeToString()
}

internal suspend inline fun <reified T> ApplicationCall.answer(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(AdminJson.encodeToString(value), ContentType.Application.Json, status)
}

internal suspend fun ApplicationCall.answerError(error: AdminError) {
    answer(ErrorAnswer(error), HttpStatusCode.fromValue(error.code.httpStatus))
}
