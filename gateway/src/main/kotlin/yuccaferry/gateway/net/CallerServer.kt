/*
 * Serves HTTP/1.1 to callers: reads one request at a time from each connection, hands it on whole, and writes the answer.
 * A caller that closes its connection cancels the request that it waits for.
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

/** A caller's whole request. */
class IncomingRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
)

/** Answers one request. */
fun interface RequestHandler {
    /** Answers [request] through [reply]; cancelled when the caller leaves. */
    suspend fun handle(
        request: IncomingRequest,
        reply: CallerReply,
    )
}

/**
 * Listens for callers on [loop].
 *
 * @param limits the limits in force now.
 */
class CallerServer(
    private val loop: EventLoop,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
) {
    private val listeners = mutableListOf<Channel>()
    private val connections = mutableSetOf<CallerConnection>()

    /** Whether connections are closed after their next answer. */
    var isLeaving = false
        private set

    /** Connections on which a request is being answered. */
    val busyConnections: Int get() = connections.count { it.isBusy }

    /** Connections that callers hold open. */
    val openConnections: Int get() = connections.size

    /** Listens on [address]; throws `IOException` when it can't. */
    suspend fun listen(address: InetSocketAddress): InetSocketAddress {
        val future =
            ServerBootstrap()
                .group(loop.group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(Pipeline())
                .bind(address)
        future.awaitFailure()?.let { throw it }
        listeners += future.channel()
        return future.channel().localAddress() as InetSocketAddress
    }

    /** Answers what comes, and closes each connection after its answer from now on. */
    fun leave() {
        isLeaving = true
    }

    /** Closes the listeners and the connections on which nothing is being answered. */
    fun closeIdle() {
        listeners.forEach { it.close() }
        connections.filterNot { it.isBusy }.forEach { it.close() }
    }

    private inner class Pipeline : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val current = limits()
            val connection = CallerConnection(loop, channel, limits, { isLeaving }, handler)
            connections += connection
            channel.closeFuture().addListener { connections -= connection }
            channel.pipeline().addLast(StrictRequestDecoder(current.headerBytes))
            channel.pipeline().addLast(HttpResponseEncoder())
            channel.pipeline().addLast(connection)
        }
    }

    private companion object {
        /** Connections that wait to be accepted; a burst of callers after a restart comes within one scheduling pause. */
        const val BACKLOG_CONNECTIONS = 1_024
    }
}

/** Refuses what two parsers could read in two ways: a length beside chunks. */
private class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(headerBytes, headerBytes, MAX_PIECE_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: io.netty.handler.codec.http.HttpMessage): Unit =
        throw IllegalArgumentException("Content-Length beside Transfer-Encoding")

    private companion object {
        /** Bytes of the largest piece of a body handed on at once. */
        const val MAX_PIECE_BYTES = 65_536
    }
}
