// Reads and writes JSON bodies, and error responses in the form that the stand-ins share.
package yuccaferry.standin.server

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.standin.faultJson
import yuccaferry.standin.standInJson

/** Body of an error response. */
@Serializable
internal class ErrorBody(
    val error: ErrorDetail,
)

/** Stable error code and a human-readable message. */
@Serializable
internal class ErrorDetail(
    val code: String,
    val message: String,
)

/** Responds with [body] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(body), ContentType.Application.Json, status)
}

/** Responds with [status] and an [ErrorBody]. */
internal suspend fun ApplicationCall.respondError(
    status: Int,
    code: String,
    message: String,
) {
    respondJson(ErrorBody(ErrorDetail(code, message)), HttpStatusCode.fromValue(status))
}

/** Reads the body as JSON, a blank one as `{}`. Responds with 400 `invalid_request` and returns null if it is invalid. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(format: Json = standInJson): T? {
    val text = receive<ByteArray>().decodeToString().ifBlank { "{}" }
    return try {
        format.decodeFromString<T>(text)
    } catch (e: SerializationException) {
        respondError(400, "invalid_request", e.message.orEmpty())
        null
    }
}

/** Reads fault settings, passes them to [apply] and responds with them. An empty body or `{}` resets them. */
internal suspend inline fun <reified T> ApplicationCall.receiveFaults(apply: (T) -> Unit) {
    val faults = receiveJson<T>(faultJson) ?: return
    apply(faults)
    respondJson(faults)
}
