// Errors of the admin API, and the JSON format that its server and clients share.
package yuccaferry.model.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Problem

/** Header with an id that the caller chooses for a change, so that a retry after a lost answer has no further effect. */
const val ATTEMPT_HEADER = "X-Attempt-Id"

/** JSON format of the admin API: absent values are written as null, unknown fields (of later releases) are ignored. */
val AdminJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

/** Stable error codes of the admin API, each with its HTTP status. */
@Serializable
enum class AdminErrorCode(
    val httpStatus: Int,
) {
    @SerialName("invalid_request")
    INVALID_REQUEST(400),

    @SerialName("unauthorised")
    UNAUTHORISED(401),

    @SerialName("not_found")
    NOT_FOUND(404),

    @SerialName("unknown_zone")
    UNKNOWN_ZONE(404),

    @SerialName("conflict")
    CONFLICT(409),

    @SerialName("body_too_large")
    BODY_TOO_LARGE(413),

    @SerialName("invalid_file")
    INVALID_FILE(422),

    @SerialName("internal")
    INTERNAL(500),

    /** The change had no effect. */
    @SerialName("store_unavailable")
    STORE_UNAVAILABLE(503),

    /** The change may have taken effect or may still do so; a retry with the same attempt id is safe. */
    @SerialName("outcome_unknown")
    OUTCOME_UNKNOWN(503),
}

/**
 * Reason why an operator's call failed.
 *
 * @property problems faults in the file, for [AdminErrorCode.INVALID_FILE].
 * @property currentVersion version in force, for [AdminErrorCode.CONFLICT].
 * @property changes differences from [currentVersion] to the refused file.
 */
@Serializable
data class AdminError(
    val code: AdminErrorCode,
    val message: String,
    val problems: List<Problem> = emptyList(),
    val currentVersion: ConfigurationVersion? = null,
    val changes: List<FileChange> = emptyList(),
)

/** Body of every error response. */
@Serializable
data class ErrorAnswer(
    val error: AdminError,
)
