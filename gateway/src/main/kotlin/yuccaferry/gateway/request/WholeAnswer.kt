// A target's answer that is collected before any of it goes to the caller.
package yuccaferry.gateway.request

import yuccaferry.gateway.net.CallerReply
import yuccaferry.gateway.net.ServerConnection
import yuccaferry.gateway.net.ServerReply
import yuccaferry.gateway.port.RequestFormat
import java.io.ByteArrayOutputStream

/** A target's whole answer. */
internal class WholeAnswer(
    val head: ServerReply.Head,
    val body: ByteArray,
) {
    val status: Int get() = head.status

    /** Answers [reply] with this; returns the outcome for the log. */
    fun pass(
        format: RequestFormat,
        reply: CallerReply,
    ): String {
        reply.whole(status, format.returnedHeaders(head.headers), body)
        return "answered:$status"
    }
}

/** The rest of an answer's body; null when it is cut or larger than a plain answer may be. */
internal suspend fun collectBody(connection: ServerConnection): ByteArray? {
    val body = ByteArrayOutputStream()
    while (body.size() <= MOST_BODY_BYTES) {
        when (val reply = connection.receive()) {
            is ServerReply.Piece -> body.writeBytes(reply.bytes)
            ServerReply.End -> return body.toByteArray()
            is ServerReply.Head, is ServerReply.Broken -> return null
        }
    }
    return null
}

/** Bytes of the largest plain answer that is collected; it lies in memory until it is whole. */
private const val MOST_BODY_BYTES = 4 * 1_024 * 1_024
