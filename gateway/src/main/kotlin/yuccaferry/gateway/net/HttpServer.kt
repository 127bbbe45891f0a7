/*
 * HTTP/1.1 server. Reads each request completely before handling it, and handles the requests of a connection one at a time.
 * A caller that closes its connection cancels its request in progress.
 */
package yuccaferry.gateway.net

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import yuccaferry.decisions.routing.CallerLimits
import java.net.InetSocketAddress

/** A caller's complete request. */
class IncomingRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
)

/** Handles the requests that an [HttpServer] receives. */
fun interface RequestHandler {
    /**
     * Answers [request] through [reply]; cancelled when the caller closes the connection. If the response is incomplete when this
     * function ends, the connection is closed.
     */
    suspend fun handle(
        request: IncomingRequest,
        reply: HttpResponseWriter,
    )
}

/**
 * HTTP server on [loop].
 *
 * @param limits returns the limits currently in force.
 * @param observer is told of requests that end without an answer.
 */
class HttpServer(
    private val loop: EventLoop,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val observer: ConnectionObserver = ConnectionObserver { _, _, _ -> },
) {
    private val listeners = mutableListOf<Channel>()
    private val connections = mutableSetOf<HttpServerConnection>()
    private val bodies = BufferBudget()

    /** Whether each connection is closed after its next response. */
    var isDraining = false
        private set

    /** Number of connections on which a request is being received or answered. */
    val busyConnections: Int get() = connections.count { it.isBusy }

    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    /** Listens on [address] and returns the bound address; throws `IOException` if it can't be bound. */
    suspend fun listen(address: InetSocketAddress): InetSocketAddress {
        val future =
            ServerBootstrap()
                .group(loop.group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, HeapAllocator)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(Pipeline())
                .bind(address)
        future.awaitFailure()?.let { throw it }
        listeners += future.channel()
        return future.channel().localAddress() as InetSocketAddress
    }

    /** From now on, closes each connection after its next response; new requests are still answered. */
    fun drain() {
        isDraining = true
    }

    /** Closes the listeners, and the connections on which no request is being received or answered. */
    fun closeIdle() {
        listeners.forEach { it.close() }
        connections.filterNot { it.isBusy }.forEach { it.close("idle while the server stops") }
    }

    /** Tells the observer of all requests that are being received or answered, because of [reason]. */
    fun reportUnanswered(reason: String) = connections.forEach { it.reportUnanswered(reason) }

    private inner class Pipeline : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val current = limits()
            val connection = HttpServerConnection(loop, channel, limits, { isDraining }, bodies, handler, observer)
            connections += connection
            channel.closeFuture().addListener { connections -= connection }
            channel.pipeline().addLast(StrictRequestDecoder(current.headerBytes))
            channel.pipeline().addLast(HttpResponseEncoder())
            channel.pipeline().addLast(connection)
        }
    }

    private companion object {
        /** Connections that may wait to be accepted: callers reconnect in a burst after a restart, possibly within one scheduling pause. */
        const val BACKLOG_CONNECTIONS = 1_024
    }
}

/** Rejects requests with both Content-Length and Transfer-Encoding: parsers disagree on where such a body ends. */
private class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(headerBytes, headerBytes, MAX_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: io.netty.handler.codec.http.HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    private companion object {
        /** Maximum bytes of a body that the decoder passes on at once. */
        const val MAX_CHUNK_BYTES = 65_536
    }
}
