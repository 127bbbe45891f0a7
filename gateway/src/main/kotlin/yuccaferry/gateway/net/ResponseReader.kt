// Turns the messages of the HTTP codec into parts of a response.
package yuccaferry.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelOutputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Adds the parts of the responses on one connection to [inbox]. */
internal class ResponseReader(
    private val inbox: ResponseInbox,
) : ChannelInboundHandlerAdapter() {
    private var informational = false
    private var mustBeEmpty = false

    /** Number of heads of final responses so far. */
    var heads = 0L
        private set

    /** Ends when the request has been handed to the operating system, or can't be; null before it is sent. */
    var requestWrite: ChannelFuture? = null

    /** Whether the head of the next final response is still to come. */
    var awaitsHead = true
        private set

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            val part = message as HttpObject
            if (part.decoderResult().isFailure) {
                end(context, "invalid response: ${part.decoderResult().cause()?.javaClass?.simpleName}")
                return
            }
            if (part is HttpResponse && !hasSupportedTransferCoding(part)) {
                end(context, "unsupported transfer coding")
                return
            }
            if (part is HttpResponse) readHead(part)
            if (part is HttpContent && !informational) readContent(context, part)
            if (part is LastHttpContent) informational = false
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun readHead(head: HttpResponse) {
        val status: HttpResponseStatus = head.status()
        informational = status.codeClass() == HttpStatusClass.INFORMATIONAL
        if (informational) return
        mustBeEmpty = status == HttpResponseStatus.RESET_CONTENT
        awaitsHead = false
        heads++
        inbox.add(HttpResponsePart.Head(status.code(), status.reasonPhrase(), head.headers()))
    }

    private fun readContent(
        context: ChannelHandlerContext,
        part: HttpContent,
    ) {
        if (mustBeEmpty && part.content().isReadable) return end(context, "body of an answer that has none")
        if (part.content().isReadable) inbox.add(HttpResponsePart.Piece(ByteBufUtil.getBytes(part.content())))
        if (part !is LastHttpContent) return
        awaitsHead = true
        if (mayBeCut(context)) end(context, "connection ended before the request was written") else inbox.add(HttpResponsePart.End)
    }

    /**
     * Whether the response ends only because the connection does, and may be incomplete. A failed write closes the channel before the
     * reset is read, so that its end looks orderly, and an orderly end under an unfinished request doesn't show that the response is whole.
     */
    private fun mayBeCut(context: ChannelHandlerContext) = !context.channel().isActive && requestWrite?.isSuccess != true

    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelOutputShutdownEvent) inbox.readToEnd()
        context.fireUserEventTriggered(event)
    }

    override fun channelInactive(context: ChannelHandlerContext) = end(context, "closed")

    @Deprecated("Netty's own signature")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = end(context, cause.message ?: cause.javaClass.simpleName)

    /** Ends the response because of [reason] and closes the connection. */
    fun end(
        context: ChannelHandlerContext,
        reason: String,
    ) {
        inbox.close(reason)
        context.close()
    }
}

/**
 * Ends a response of [reader] whose head doesn't end. The codec limits each head, but skips any number of empty lines and informational
 * heads before the final one.
 */
internal class ResponseHeadLimit(
    private val reader: ResponseReader,
) : ChannelInboundHandlerAdapter() {
    private var bytes = 0L

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        val headsBefore = reader.heads
        bytes += (message as ByteBuf).readableBytes()
        context.fireChannelRead(message)
        if (reader.heads > headsBefore || !reader.awaitsHead) bytes = 0
        if (bytes > MAX_BYTES) reader.end(context, "response head exceeds $MAX_BYTES bytes")
    }

    private companion object {
        /** Maximum bytes before the end of a final head: the largest head that the codec accepts, and as much before it. */
        const val MAX_BYTES = 65_536
    }
}
