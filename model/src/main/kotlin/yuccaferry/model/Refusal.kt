// Errors that callers receive. The errors of all layers are mapped to these stable codes.
package yuccaferry.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a refused or failed request had an effect at a target. */
@Serializable
enum class Execution {
    /** No target has run or will run any part of the request. */
    @SerialName("not_run")
    NOT_RUN,

    /** A target ran the request, wholly or in part. */
    @SerialName("ran")
    RAN,

    /** It is not known whether a target ran the request. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Stable error codes of the callers' API, each with its HTTP status. */
@Serializable
enum class RefusalCode(
    val httpStatus: Int,
) {
    @SerialName("invalid_request")
    INVALID_REQUEST(400),

    @SerialName("unauthenticated")
    UNAUTHENTICATED(401),

    @SerialName("not_permitted")
    NOT_PERMITTED(403),

    @SerialName("unknown_model")
    UNKNOWN_MODEL(404),

    @SerialName("unknown_service")
    UNKNOWN_SERVICE(404),

    @SerialName("outcome_unknown")
    OUTCOME_UNKNOWN(409),

    @SerialName("key_reused")
    KEY_REUSED(422),

    @SerialName("body_too_large")
    BODY_TOO_LARGE(413),

    @SerialName("account_limit")
    ACCOUNT_LIMIT(429),

    @SerialName("target_failed")
    TARGET_FAILED(502),

    @SerialName("no_capacity")
    NO_CAPACITY(503),

    @SerialName("not_ready")
    NOT_READY(503),

    @SerialName("ledger_unavailable")
    LEDGER_UNAVAILABLE(503),

    @SerialName("deadline_exceeded")
    DEADLINE_EXCEEDED(504),
}

/**
 * Reason why a request was not answered.
 *
 * @property execution whether the request had an effect.
 * @property repeatable whether sending the same request again is safe.
 * @property retryAfterSeconds seconds after which a retry may succeed, null when there is no such advice.
 */
@Serializable
data class Refusal(
    val code: RefusalCode,
    val message: String,
    val execution: Execution,
    val repeatable: Boolean = execution == Execution.NOT_RUN,
    val retryAfterSeconds: Int? = null,
)
