/*
 * Tells peers about this daemon's work by datagrams and hears theirs. Changes are gathered for a few milliseconds; while there
 * is work, the whole state is repeated at an interval that outlasts single losses.
 */
package yuccaferry.gateway.peers

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import yuccaferry.daemon.port.Telemetry
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.awaitFailure
import yuccaferry.model.MonotonicTime
import java.net.InetSocketAddress

/** Datagrams of the daemon [name] between [board] and its peers. */
class PeerLink(
    private val loop: EventLoop,
    private val name: String,
    private val board: WorkBoard,
    private val telemetry: Telemetry,
) {
    private val start = System.currentTimeMillis()
    private var sequence = 0L
    private var channel: Channel? = null
    private var peers: List<InetSocketAddress> = emptyList()
    private var sending: Job? = null
    private var nextSend = MonotonicTime(0)

    /** Listens on [address]; throws `IOException` when it can't. */
    suspend fun open(address: InetSocketAddress) {
        val future =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(address)
        future.awaitFailure()?.let { throw it }
        channel = future.channel()
        board.onChange = { changed(it) }
    }

    /** Replaces the peers' addresses. */
    fun setPeers(addresses: List<InetSocketAddress>) {
        peers = addresses
    }

    /** Sends within the delay that [isUrgent] asks for, and again while there is work. */
    private fun changed(isUrgent: Boolean) {
        val due = loop.now() + if (isUrgent) URGENT_DELAY_MILLIS else DELAY_MILLIS
        if (sending?.isActive == true && nextSend <= due) return
        schedule(due)
    }

    private fun schedule(due: MonotonicTime) {
        sending?.cancel()
        nextSend = due
        sending =
            loop.scope.launch {
                delay(due - loop.now())
                sending = null
                sendAll()
                if (board.ownCount > 0) schedule(loop.now() + REPEAT_MILLIS)
            }
    }

    private fun sendAll() {
        val open = channel ?: return
        if (peers.isEmpty()) return
        val message = WorkMessage(name, start, ++sequence, board.ownWork(loop.now()))
        val bytes = ProtoBuf.encodeToByteArray(message)
        peers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            try {
                board.hear(ProtoBuf.decodeFromByteArray<WorkMessage>(ByteBufUtil.getBytes(packet.content())), loop.now())
            } catch (invalid: SerializationException) {
                telemetry.count("yuccaferry_peer_messages_invalid_total")
            }
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            telemetry.count("yuccaferry_peer_receive_errors_total")
        }
    }

    private companion object {
        /** Milliseconds for which changes by short prompts are gathered. */
        const val DELAY_MILLIS = 30L

        /** Milliseconds for which changes by long prompts are gathered. */
        const val URGENT_DELAY_MILLIS = 1L

        /** Milliseconds between repeats while there is work. */
        const val REPEAT_MILLIS = 500L
    }
}
