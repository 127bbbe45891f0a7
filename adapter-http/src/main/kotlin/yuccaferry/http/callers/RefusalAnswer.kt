// JSON format of all refusals that callers receive.
package yuccaferry.http.callers

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
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

internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

/** Codes of refusals that another daemon, or this one at another time, might not have returned for the same request. */
private val TRANSIENT_REFUSALS =
    setOf(RefusalCode.NOT_READY, RefusalCode.ACCOUNT_LIMIT, RefusalCode.NOT_PERMITTED, RefusalCode.UNKNOWN_SERVICE)

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

/** Responds to this call with [refusal] and the HTTP status of its code. */
internal suspend fun ApplicationCall.refuse(
    id: RequestId,
    refusal: Refusal,
) {
    refusal.retryAfterSeconds?.let { response.header(HttpHeaders.RetryAfter, it.toString()) }
    val status = HttpStatusCode.fromValue(refusal.code.httpStatus)
    respondText(refusalJson(id, refusal), ContentType.Application.Json, status)
}

/**
 * Responds to this call with [refusal], which was decided without reading the booking ledger. An earlier request
 * with the same idempotency key may have run. If the caller sent a key and the code is in [TRANSIENT_REFUSALS],
 * the response therefore says [Execution.UNKNOWN] instead of "not run".
 */
internal suspend fun ApplicationCall.refuseWithoutLedgerCheck(
    id: RequestId,
    refusal: Refusal,
) {
    val keyed = request.header(IDEMPOTENCY_KEY_HEADER) != null && refusal.code in TRANSIENT_REFUSALS
    refuse(id, if (keyed) refusal.copy(execution = Execution.UNKNOWN) else refusal)
}

/** Returns the refusal of a request with an invalid body or header. */
internal fun invalidRequest(problem: Problem) =
    Refusal(RefusalCode.INVALID_REQUEST, problem.toString(), Execution.NOT_RUN, repeatable = false)
