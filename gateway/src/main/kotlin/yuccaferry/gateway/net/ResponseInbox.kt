// Holds the parts of a response that have been read and not yet received, and holds the sender back while there are many.
package yuccaferry.gateway.net

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import yuccaferry.model.MonotonicTime
import io.netty.channel.Channel as Connection

/** Parts read from one connection; reads pause while more than [PAUSE_BYTES] are queued, so that TCP holds the sender back. */
internal class ResponseInbox(
    private val now: () -> MonotonicTime,
) {
    private val parts = Channel<HttpResponsePart>(Channel.UNLIMITED)
    private var connection: Connection? = null
    private var queuedBytes = 0
    private var mayPause = true

    /** Arrival time of the last head or piece; null before the first. */
    var lastArrival: MonotonicTime? = null
        private set

    /** Whether all parts have been received. */
    @OptIn(ExperimentalCoroutinesApi::class)
    val isEmpty: Boolean get() = parts.isEmpty

    /** Sets the connection whose reads are paused. */
    fun attach(connection: Connection) {
        this.connection = connection
    }

    /** Reads on without pauses after the sender has gone: what it sent before is in the kernel's receive buffer, which limits it. */
    fun readToEnd() {
        mayPause = false
        connection?.config()?.isAutoRead = true
    }

    /** Queues [part]; does nothing after [close]. */
    fun add(part: HttpResponsePart) {
        if (!parts.trySend(part).isSuccess) return
        if (part is HttpResponsePart.Head || part is HttpResponsePart.Piece) lastArrival = now()
        queuedBytes += part.queuedBytes
        if (mayPause && queuedBytes > PAUSE_BYTES) connection?.config()?.isAutoRead = false
    }

    /** Queues [reason] as the last part. */
    fun close(reason: String) {
        add(HttpResponsePart.Broken(reason))
        parts.close()
    }

    /** Returns the next part; [HttpResponsePart.Broken] after [close]. */
    suspend fun receive(): HttpResponsePart =
        try {
            parts.receive().also { take(it) }
        } catch (closed: ClosedReceiveChannelException) {
            HttpResponsePart.Broken("closed")
        }

    /** Like [receive] without a limit, but returns null if no part arrives within [withinMillis]. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun receive(withinMillis: Long): HttpResponsePart? =
        select {
            parts.onReceiveCatching { result -> result.getOrNull()?.also { take(it) } ?: HttpResponsePart.Broken("closed") }
            onTimeout(withinMillis) { null }
        }

    private fun take(part: HttpResponsePart) {
        queuedBytes -= part.queuedBytes
        if (queuedBytes <= RESUME_BYTES) connection?.config()?.isAutoRead = true
    }

    private companion object {
        /** Queued bytes above which reads pause: a few events of the largest size, small beside the memory of an instance. */
        const val PAUSE_BYTES = 65_536

        /** Queued bytes at which reads resume. */
        const val RESUME_BYTES = 16_384
    }
}

/** Bytes of memory that a queued part takes, without its fixed size. */
private val HttpResponsePart.queuedBytes: Int
    get() =
        when (this) {
            is HttpResponsePart.Piece -> bytes.size
            is HttpResponsePart.Head -> HEAD_BYTES
            is HttpResponsePart.Broken, HttpResponsePart.End -> 0
        }

/** Assumed bytes of a response head. */
private const val HEAD_BYTES = 512
