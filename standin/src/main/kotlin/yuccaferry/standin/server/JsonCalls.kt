// Reading and answering JSON bodies, and error answers in the form that every interface of the stand-ins shares.
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

/** Body of an error answer. */
@Serializable
internal class ErrorBody(
    val error: ErrorDetail,
)

/** Stable code and a text for people. */
@Serializable
internal class ErrorDetail(
    val code: String,
    val message: String,
)

/** Answers [body] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(body), ContentType.Application.Json, status)
}

/** Answers an error with [code]. */
internal suspend fun ApplicationCall.respondError(
    status: Int,
    code: String,
    message: String,
) {
    respondJson(ErrorBody(ErrorDetail(code, message)), HttpStatusCode.fromValue(status))
}

/** Reads the body as JSON; answers 400 `invalid_request` and returns null when it does not parse. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(format: Json = standInJson): T? {
    val text = receive<ByteArray>().decodeToString().ifBlank { "{}" }
    return try {
        format.decodeFromString<T>(text)
    } catch (e: SerializationException) {
        respondError(400, "invalid_request", e.message.orEmpty())
        null
    }
}

/** Reads fault settings and hands them to [apply]; an empty body or `{}` resets them. */
internal suspend inline fun <reified T> ApplicationCall.receiveFaults(apply: (T) -> Unit) {
    val faults = receiveJson<T>(faultJson) ?: return
    apply(faults)
    respondJson(faults)
}
