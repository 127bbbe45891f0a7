// What a server sent on a connection, in order.
package yuccaferry.gateway.net

import io.netty.handler.codec.http.HttpHeaders

/** One part of a server's reply. */
sealed interface ServerReply {
    /** Status line and headers of a final response. */
    class Head(
        val status: Int,
        val reason: String,
        val headers: HttpHeaders,
    ) : ServerReply

    /** Some bytes of the body. */
    class Piece(
        val bytes: ByteArray,
    ) : ServerReply

    /** The end of a complete response. */
    data object End : ServerReply

    /** Nothing more will come: the connection ended, or what came is no valid response. */
    class Broken(
        val reason: String,
    ) : ServerReply
}
