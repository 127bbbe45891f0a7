// Client side of an HTTP/1.1 connection to a target or to the platform.
package yuccaferry.gateway.net

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import yuccaferry.model.MonotonicTime
import java.net.InetSocketAddress

/** A request to send. The sender sets the `Host` header in [headers]. */
class OutgoingRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
)

/** An open client connection, which carries one request at a time. */
class HttpClientConnection internal constructor(
    private val channel: Channel,
    private val inbox: ResponseInbox,
    private val reader: ResponseReader,
    private val decoder: ResponseDecoder,
) {
    /** Whether the connection is open as far as this side has detected. */
    val isOpen: Boolean get() = channel.isActive

    /** Whether the connection is open and nothing has arrived beyond what was received, which would look like the next response. */
    val isReusable: Boolean get() = isOpen && inbox.isEmpty

    /** Arrival time of the last bytes of a response, whether or not they have been received; null before the first. */
    val lastArrival: MonotonicTime? get() = inbox.lastArrival

    /** Sends [request]; [receive] returns the parts of its response. */
    fun send(request: OutgoingRequest) {
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.uri,
                Unpooled.wrappedBuffer(request.body),
                request.headers,
                EmptyHttpHeaders.INSTANCE,
            )
        decoder.requestMethod = message.method()
        reader.requestWrite = channel.writeAndFlush(message)
    }

    /**
     * Returns the next part that the server sent, or [HttpResponsePart.Broken] if the connection has ended or the bytes are not a valid
     * response. A response that belongs to no request is returned like any other.
     */
    suspend fun receive(): HttpResponsePart = inbox.receive()

    /** Like [receive] without a limit, but returns null if no part arrives within [withinMillis]; the next call returns a later part. */
    suspend fun receive(withinMillis: Long): HttpResponsePart? = inbox.receive(withinMillis)

    /** Closes the connection, which also tells the server to abandon a request in progress. */
    fun close() {
        channel.close()
    }
}

/** Opens connections on [loop]. */
class HttpClientConnector(
    private val loop: EventLoop,
) {
    /** Connects to [address]; returns null if the connection fails or is not established within [timeoutMillis]. */
    suspend fun connect(
        address: InetSocketAddress,
        timeoutMillis: Long,
    ): HttpClientConnection? {
        val inbox = ResponseInbox(loop::now)
        val reader = ResponseReader(inbox)
        val decoder = ResponseDecoder()
        val future = begin(address, timeoutMillis, Pipeline(inbox, reader, decoder))
        return if (awaitFailure(future) == null) HttpClientConnection(future.channel(), inbox, reader, decoder) else null
    }

    /** Connects to [address] and closes the connection; waits [timeoutMillis] at most. */
    suspend fun probe(
        address: InetSocketAddress,
        timeoutMillis: Long,
    ): Reachability {
        val inbox = ResponseInbox(loop::now)
        val future = begin(address, timeoutMillis, Pipeline(inbox, ResponseReader(inbox), ResponseDecoder()))
        return reachabilityOf(awaitFailure(future)).also { future.channel().close() }
    }

    private fun begin(
        address: InetSocketAddress,
        timeoutMillis: Long,
        pipeline: Pipeline,
    ): ChannelFuture =
        Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis.toInt().coerceAtLeast(1))
            .option(ChannelOption.ALLOCATOR, HeapAllocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            // A failed write ends only the output, so that a response that the server sent before is still read.
            .option(ChannelOption.AUTO_CLOSE, false)
            .handler(pipeline)
            .connect(address)

    /** Like [ChannelFuture.awaitFailure], but closes the connection if the caller is cancelled. */
    private suspend fun awaitFailure(future: ChannelFuture): Throwable? =
        try {
            future.awaitFailure()
        } catch (cancelled: CancellationException) {
            future.channel().close()
            throw cancelled
        }

    private class Pipeline(
        private val inbox: ResponseInbox,
        private val reader: ResponseReader,
        private val decoder: ResponseDecoder,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            inbox.attach(channel)
            channel.pipeline().addLast(ResponseHeadLimit(reader))
            channel.pipeline().addLast(decoder)
            channel.pipeline().addLast(HttpRequestEncoder())
            channel.pipeline().addLast(reader)
        }
    }
}
