// Buffers a target's response before any of it is sent to the caller.
package yuccaferry.gateway.request

import yuccaferry.gateway.net.BufferBudget
import yuccaferry.gateway.net.HttpClientConnection
import yuccaferry.gateway.net.HttpResponsePart
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.port.RequestFormat
import java.io.ByteArrayOutputStream

/** A target's complete response. */
internal class BufferedResponse(
    val head: HttpResponsePart.Head,
    val body: ByteArray,
) {
    val status: Int get() = head.status

    /** Sends this response through [reply]; returns the outcome for the log. */
    fun respond(
        format: RequestFormat,
        reply: HttpResponseWriter,
    ): String {
        reply.send(status, format.returnedHeaders(head.headers), body)
        return "answered:$status"
    }
}

/** Returns the rest of a response's body; null if it is truncated, larger than [MAX_BODY_BYTES] or [share] has no room for it. */
internal suspend fun collectBody(
    connection: HttpClientConnection,
    share: BufferBudget.Share,
): ByteArray? {
    val body = ByteArrayOutputStream()
    while (body.size() <= MAX_BODY_BYTES) {
        when (val part = connection.receive()) {
            is HttpResponsePart.Piece -> if (share.take(part.bytes.size)) body.writeBytes(part.bytes) else return null
            HttpResponsePart.End -> return body.toByteArray()
            is HttpResponsePart.Head, is HttpResponsePart.Broken -> return null
        }
    }
    return null
}

/** Maximum bytes of a body that is buffered, because it is held in memory until it is complete. */
private const val MAX_BODY_BYTES = 4 * 1_024 * 1_024
