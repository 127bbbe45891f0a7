// Reads a request's body up to a size limit, so that one caller can't exhaust the memory of the process.
package yuccaferry.http.callers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import yuccaferry.model.Execution
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode

/** Returns the body, or a refusal when it has more than [limitBytes] or fewer bytes than its Content-Length says. */
internal suspend fun ApplicationCall.bodyUpTo(limitBytes: Long): Result<ByteArray, Refusal> {
    val declaredBytes = request.contentLength() ?: 0
    if (declaredBytes > limitBytes) return tooLarge(limitBytes)
    val body = receiveChannel().readRemaining(limitBytes + 1).readByteArray()
    return when {
        body.size > limitBytes -> tooLarge(limitBytes)
        body.size < declaredBytes -> incomplete(body.size, declaredBytes)
        else -> Ok(body)
    }
}

private fun tooLarge(limitBytes: Long) =
    Err(Refusal(RefusalCode.BODY_TOO_LARGE, "expected a body of at most $limitBytes bytes", Execution.NOT_RUN, repeatable = false))

private fun incomplete(
    received: Int,
    declaredBytes: Long,
) = Err(
    Refusal(RefusalCode.INVALID_REQUEST, "expected a body of $declaredBytes bytes but received only $received bytes", Execution.NOT_RUN),
)
