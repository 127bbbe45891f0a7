// Parts of an HTTP response, in the order in which a server sends them.
package yuccaferry.gateway.net

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** One part of a server's response. */
sealed interface HttpResponsePart {
    /** Status line and headers of a final response. */
    class Head(
        val status: Int,
        val reason: String,
        val headers: HttpHeaders,
    ) : HttpResponsePart {
        /** Whether the body's end is marked; otherwise the connection's end is also the body's (RFC 9112, section 6.3). */
        val statesLength: Boolean
            get() = headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
    }

    /** Some bytes of the body. */
    class Piece(
        val bytes: ByteArray,
    ) : HttpResponsePart

    /** The end of a complete response. */
    data object End : HttpResponsePart

    /** The response can't be completed: the connection ended, or the bytes received are not a valid response. */
    class Broken(
        val reason: String,
    ) : HttpResponsePart
}
