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
import io.netty.channel.ChannelOption
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.TargetPenalty
import yuccaferry.decisions.quarantine.PromptQuarantine
import yuccaferry.decisions.quarantine.QuarantineReport
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HeapAllocator
import yuccaferry.gateway.net.awaitFailure
import yuccaferry.gateway.view.Member
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress

/**
 * Sends what the daemon [name] in [zone] knows of [targets] to its peers, its own work, penalties, stated loads and limits, and the
 * [quarantine], and records what they send.
 */
class PeerLink internal constructor(
    private val loop: EventLoop,
    private val name: DaemonName,
    private val zone: ZoneName,
    private val targets: TargetKnowledge,
    private val quarantine: PromptQuarantine,
    private val telemetry: Telemetry,
) {
    private val start = System.currentTimeMillis()
    private var sequence = 0L
    private var channel: Channel? = null
    private var scopes = PeerScopes.NONE
    private var timing = PeerTiming.COMPLETE

    /** Whether the first message of this run has been sent. */
    private var hasGreeted = false
    private val nearSends = SendSchedule(loop, telemetry, ::sendNear)
    private val farSends = SendSchedule(loop, telemetry, ::sendFar)

    /** Number of messages sent, one for each receiver. */
    var sentMessages = 0L
        private set

    /** Number of messages received. */
    var receivedMessages = 0L
        private set

    /** Listens on [address]; throws `IOException` if it can't be bound. */
    suspend fun open(address: InetSocketAddress) {
        val future =
            Bootstrap()
                .group(loop.group)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.ALLOCATOR, HeapAllocator)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(Receiver())
                .bind(address)
        future.awaitFailure()?.let { throw it }
        channel = future.channel()
        targets.work.onChange = ::scheduleSends
        targets.paces.onNews = { nearSends.within(timing.batchMillis) }
    }

    /** Opens the socket at [address] again whenever it was closed; calls [onProgress] while it is open. */
    suspend fun keepOpen(
        address: InetSocketAddress,
        onProgress: () -> Unit,
    ) {
        while (true) {
            if (channel?.isOpen != true) open(address)
            onProgress()
            delay(CHECK_MILLIS)
        }
    }

    /** Replaces the live daemons, to which the work is sent. */
    fun setMembers(members: Collection<Member>) {
        scopes = PeerScopes.of(name, zone, members)
        timing = if (scopes.isComplete) PeerTiming.COMPLETE else PeerTiming.PARTIAL
        targets.work.isComplete = scopes.isComplete
        targets.work.knownShare = scopes.knownShare
        // A daemon that has just started knows no quarantine, and is told of it in reply to its first message.
        val isFirst = !hasGreeted && scopes.near.isNotEmpty()
        if (isFirst || !quarantine.report(loop.now()).isEmpty) nearSends.within(LONG_BATCH_MILLIS)
        hasGreeted = hasGreeted || isFirst
    }

    /** Tells all peers about the quarantine at once. */
    internal fun reportQuarantine() {
        nearSends.within(LONG_BATCH_MILLIS)
        farSends.within(LONG_BATCH_MILLIS)
    }

    private fun scheduleSends(change: WorkChange) {
        when (change) {
            WorkChange.LONG -> {
                nearSends.within(LONG_BATCH_MILLIS)
                farSends.within(LONG_BATCH_MILLIS)
            }

            WorkChange.SHORT, WorkChange.PREFILLED -> {
                nearSends.within(timing.batchMillis)
            }
        }
    }

    private fun sendNear() {
        if (targets.work.ownCount > 0 || hasRecentCrash()) nearSends.within(timing.nearRepeatMillis)
        send(scopes.near, targets.work.ownWork(loop.now()), timing.nearRepeatMillis)
    }

    private fun sendFar() {
        val work = targets.work.ownLongWork(loop.now())
        if (hasRecentCrash()) {
            farSends.within(CRASH_REPEAT_MILLIS)
        } else if (work.isNotEmpty()) {
            farSends.within(timing.farRepeatMillis)
        }
        send(scopes.far, work, timing.farRepeatMillis)
    }

    private fun hasRecentCrash() = quarantine.sawCrashRecently(loop.now())

    private fun send(
        receivers: List<Member>,
        work: List<TargetWork>,
        repeatMillis: Long,
    ) {
        val open = channel ?: return
        if (receivers.isEmpty()) return
        val penalties = targets.health.reportable(loop.now()).map { ReportedPenalty(it.target.value, it.run.value, it.millis.toInt()) }
        val limits = targets.paces.reports(loop.now()).map { PaceMessage.of(it) }
        val reports = quarantine.report(loop.now()).split(QuarantineMessage.MAX_PARTS)
        val first = reports.firstOrNull()?.let { QuarantineMessage.of(it) }
        val told = work.sortedByDescending { it.active }.take(WorkMessage.MAX_TARGETS)
        val stated = targets.loads.reportable(loop.now()).map { LoadMessage.of(it) }
        val message =
            WorkMessage(
                daemon = name.value,
                start = start,
                sequence = ++sequence,
                targets = told,
                validMillis = repeatMillis * MISSED_REPEATS,
                penalties = penalties,
                quarantine = first,
                paces = limits,
                loads = stated,
            )
        val addresses = receivers.map { it.peerAddress }
        (listOf(message) + additions(reports.drop(1))).forEach { send(open, addresses, it) }
        open.flush()
    }

    /** Tells the daemon at [address] of the quarantine, in advance of the listing in which this daemon finds it. */
    private fun sendQuarantine(address: InetSocketAddress) {
        val open = channel ?: return
        additions(quarantine.report(loop.now()).split(QuarantineMessage.MAX_PARTS)).forEach { send(open, listOf(address), it) }
        open.flush()
    }

    private fun additions(reports: List<QuarantineReport>) =
        reports.map { WorkMessage(name.value, start, ++sequence, quarantine = QuarantineMessage.of(it), isAddition = true) }

    private fun send(
        open: Channel,
        receivers: List<InetSocketAddress>,
        message: WorkMessage,
    ) {
        val bytes = ProtoBuf.encodeToByteArray(message)
        if (bytes.size > MAX_DATAGRAM_BYTES) telemetry.count("yuccaferry_peer_messages_too_long_total")
        receivers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        sentMessages += receivers.size
    }

    private fun receive(
        message: WorkMessage,
        sender: InetSocketAddress,
    ) {
        val now = loop.now()
        // Additions get no reply: two daemons that don't know each other's work would go on for ever.
        if (!message.isAddition && !targets.work.knowsRunOf(message)) sendQuarantine(sender)
        if (!message.isAddition) targets.work.receive(message, now)
        val penalties = message.penalties.map { TargetPenalty(TargetId(it.target), Incarnation(it.run), it.millis.toDouble()) }
        targets.reports.receive(DaemonName(message.daemon), penalties, now)
        targets.paces.receive(DaemonName(message.daemon), message.paces.map { it.toReport() }, now)
        message.loads.forEach { receive(it, now) }
        message.quarantine?.let { quarantine.receive(it.toReport(), now) }
    }

    private fun receive(
        stated: LoadMessage,
        now: MonotonicTime,
    ) {
        val target = TargetId(stated.target)
        val run = Incarnation(stated.run)
        val time = now + -stated.ageMillis.toLong()
        targets.activity.record(target, run, time)
        targets.loads.record(target, run, stated.load, known = targets.work.totalsAt(target, now).active, time)
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            receivedMessages++
            val message = decodeMessage(ByteBufUtil.getBytes(packet.content()))
            if (message != null) receive(message, packet.sender()) else telemetry.count("yuccaferry_peer_messages_invalid_total")
        }

        @Deprecated("Netty's own signature")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            telemetry.count("yuccaferry_peer_receive_errors_total")
        }
    }

    internal companion object {
        /** Milliseconds for which the start and end of long prompts are batched. */
        private const val LONG_BATCH_MILLIS = 1L

        /** Milliseconds after which recent crashes are reported again to peers that are otherwise told about long prompts only. */
        private const val CRASH_REPEAT_MILLIS = 300L

        /** Longest message that is received whole. The parts of a report are limited, and the targets, so that messages are shorter. */
        const val MAX_DATAGRAM_BYTES = 8_192

        /** Milliseconds between checks whether the socket is open. */
        private const val CHECK_MILLIS = 1_000L

        /** Repeats after whose loss a peer's work is no longer counted. */
        private const val MISSED_REPEATS = 3
    }
}

/**
 * Timing of the messages to peers, in milliseconds.
 *
 * @property batchMillis time for which changes by short prompts are batched.
 * @property nearRepeatMillis time between repeated sends of all work.
 * @property farRepeatMillis time between repeated sends of long work.
 */
private enum class PeerTiming(
    val batchMillis: Long,
    val nearRepeatMillis: Long,
    val farRepeatMillis: Long,
) {
    /** Timing while all peers are told everything. */
    COMPLETE(batchMillis = 30, nearRepeatMillis = 500, farRepeatMillis = 500),

    /** Timing in a larger fleet, where short prompts are spread by sampling and need no fresh counts. */
    PARTIAL(batchMillis = 100, nearRepeatMillis = 1_000, farRepeatMillis = 2_000),
}
