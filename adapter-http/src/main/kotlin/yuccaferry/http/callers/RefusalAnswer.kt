// The one JSON shape of every refusal that a caller sees.
package yuccaferry.http.callers

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import yuccaferry.model.Execution
import yuccaferry.model.Problem
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import yuccaferry.model.RequestId

@Serializable
internal data class RefusalEnvelope(
    val error: RefusalBody,
)

@Serializable
internal data class RefusalBody(
    val code: RefusalCode,
    val message: String,
    val execution: Execution,
    val repeatable: Boolean,
    @SerialName("request_id") val requestId: String,
)

internal fun refusalJson(
    id: RequestId,
    refusal: Refusal,
): String =
    Json.encodeToString(
        RefusalEnvelope(RefusalBody(refusal.code, refusal.message, refusal.execution, refusal.repeatable, id.value)),
    )

/** Answers [this] call with [refusal] and the HTTP status of its code. */
internal suspend fun ApplicationCall.refuse(
    id: RequestId,
    refusal: Refusal,
) {
    refusal.retryAfterSeconds?.let { response.header(HttpHeaders.RetryAfter, it.toString()) }
    val status = HttpStatusCode.fromValue(refusal.code.httpStatus)
    respondText(refusalJson(id, refusal), ContentType.Application.Json, status)
}

/** The refusal of a body that could not be read. */
internal fun invalidRequest(problem: Problem) =
    Refusal(RefusalCode.INVALID_REQUEST, problem.toString(), Execution.NOT_RUN, repeatable = false)
