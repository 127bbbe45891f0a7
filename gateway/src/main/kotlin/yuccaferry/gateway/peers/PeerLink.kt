/*
 * Exchanges the work in progress with peers over UDP. Changes are batched for a few milliseconds; while there is work, the complete
 * state is sent again at an interval short enough that the loss of single datagrams has no lasting effect.
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

/** Sends the work of the daemon [name] from [workTracker] to its peers, and records theirs there. */
class PeerLink(
    private val loop: EventLoop,
    private val name: String,
    private val workTracker: WorkTracker,
    private val telemetry: Telemetry,
) {
    private val start = System.currentTimeMillis()
    private var sequence = 0L
    private var channel: Channel? = null
    private var peers: List<InetSocketAddress> = emptyList()
    private var sending: Job? = null
    private var nextSend = MonotonicTime(0)

    /** Listens on [address]; throws `IOException` if it can't be bound. */
    suspend fun open(address: InetSocketAddress) {
        val future =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(address)
        future.awaitFailure()?.let { throw it }
        channel = future.channel()
        workTracker.onChange = { scheduleSend(it) }
    }

    /** Replaces the addresses of the peers to which the work is sent. */
    fun setPeers(addresses: List<InetSocketAddress>) {
        peers = addresses
    }

    /** Schedules a send after the delay for [isUrgent], unless an earlier one is scheduled; sends repeat while there is work. */
    private fun scheduleSend(isUrgent: Boolean) {
        val due = loop.now() + if (isUrgent) URGENT_BATCH_DELAY_MILLIS else BATCH_DELAY_MILLIS
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
                if (workTracker.ownCount > 0) schedule(loop.now() + REPEAT_INTERVAL_MILLIS)
            }
    }

    private fun sendAll() {
        val open = channel ?: return
        if (peers.isEmpty()) return
        val message = WorkMessage(name, start, ++sequence, workTracker.ownWork(loop.now()))
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
                workTracker.receive(ProtoBuf.decodeFromByteArray<WorkMessage>(ByteBufUtil.getBytes(packet.content())), loop.now())
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
        /** Milliseconds for which the start and end of short prompts and the end of prefills are batched. */
        const val BATCH_DELAY_MILLIS = 30L

        /** Milliseconds for which the start and end of long prompts are batched. */
        const val URGENT_BATCH_DELAY_MILLIS = 1L

        /** Milliseconds between repeated sends while there is work. */
        const val REPEAT_INTERVAL_MILLIS = 500L
    }
}
