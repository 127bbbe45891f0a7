// Server side of one HTTP connection: reads requests, runs the handler for each in order, and limits how long a caller may take.
package yuccaferry.gateway.net

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import yuccaferry.decisions.routing.CallerLimits
import yuccaferry.model.MonotonicTime
import java.util.concurrent.TimeUnit

internal class HttpServerConnection(
    private val loop: EventLoop,
    private val channel: Channel,
    private val limits: () -> CallerLimits,
    private val isDraining: () -> Boolean,
    private val bodies: BufferBudget,
    private val handler: RequestHandler,
    private val observer: ConnectionObserver,
) : ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body: BodyBuffer? = null
    private val waiting = ArrayDeque<Pending>()
    private var running: Running? = null

    /** Status of the last answer on this connection, which follows the answers to the requests received before. */
    private var refusal: Int? = null
    private var mustContinue = false
    private var maxBodyBytes = 0
    private var timer: ScheduledFuture<*>? = null
    private var writeTimer: ScheduledFuture<*>? = null
    private var closeReason: String? = null

    /** Whether a request is being received or answered, or its answer is not completely sent. */
    val isBusy: Boolean get() = running != null || isReceiving

    private val isReceiving: Boolean get() = waiting.isNotEmpty() || head != null || refusal != null

    fun close(reason: String) {
        if (closeReason == null) closeReason = reason
        channel.close()
    }

    /** Reports the requests that end without a complete answer if the connection is lost now. */
    fun reportUnanswered(reason: String) {
        running?.let { report(it.request, ConnectionObserver.Stage.ANSWERING, reason) }
        waiting.forEach { report(it.request, ConnectionObserver.Stage.WAITING, reason) }
        head?.let { report(it.withoutBody(), ConnectionObserver.Stage.RECEIVING, reason) }
    }

    private fun report(
        request: IncomingRequest?,
        stage: ConnectionObserver.Stage,
        reason: String,
    ) = observer.onRequestDropped(request, stage, reason)

    override fun channelActive(context: ChannelHandlerContext) {
        armIdleTimer()
        context.fireChannelActive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (refusal == null) read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(part: HttpObject) {
        if (part.decoderResult().isFailure) {
            refuse(if (part.decoderResult().cause().isTooLong()) STATUS_HEAD_TOO_LARGE else STATUS_BAD_REQUEST)
            return
        }
        if (part is HttpRequest) begin(part)
        if (part is HttpContent && head != null) append(part)
    }

    private fun begin(request: HttpRequest) {
        head = request
        dropBody()
        val current = limits()
        if (!hasSupportedTransferCoding(request)) return refuse(STATUS_BAD_REQUEST)
        maxBodyBytes = current.bodyBytes
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) return refuse(STATUS_BODY_TOO_LARGE)
        mustContinue = HttpUtil.is100ContinueExpected(request)
        continueRequest()
        armTimer(current.headerTimeoutMillis + current.idleTimeoutMillis) { refuse(STATUS_REQUEST_TIMEOUT) }
    }

    /** Asks for the body that the caller holds back, once all answers before it are sent. */
    private fun continueRequest() {
        if (!mustContinue || running != null) return
        mustContinue = false
        HttpResponseWriter(channel, mayKeepOpen = true).continueRequest()
    }

    private fun append(part: HttpContent) {
        val received = body ?: BodyBuffer(bodies.share()).also { body = it }
        if (!received.add(ByteBufUtil.getBytes(part.content()))) {
            // No part of the request has been handled, so that the caller may send it again, to any daemon.
            refuse(STATUS_UNAVAILABLE)
            return
        }
        if (received.size > maxBodyBytes) {
            refuse(STATUS_BODY_TOO_LARGE)
            return
        }
        if (part !is LastHttpContent) return
        val request = checkNotNull(head)
        head = null
        body = null
        mustContinue = false
        timer?.cancel(false)
        val whole = IncomingRequest(request.method().name(), request.uri(), request.headers(), received.take())
        waiting.addLast(Pending(whole, HttpUtil.isKeepAlive(request), received))
        runNext()
    }

    private fun runNext() {
        if (running != null || !channel.isActive) return
        val next = waiting.removeFirstOrNull() ?: return sendRefusal()
        // A caller that has already sent its next request gets an answer to that one too.
        val reply = HttpResponseWriter(channel, mayKeepOpen = next.keepAlive) { isDraining() && !isReceiving }
        val job = loop.scope.launch(start = CoroutineStart.LAZY) { handler.handle(next.request, reply) }
        val current = Running(next.request, reply, job).also { running = it }
        job.invokeOnCompletion {
            loop.group.next().execute {
                next.body.drop()
                handled(current)
            }
        }
        job.start()
    }

    private fun handled(current: Running) {
        if (!current.reply.isComplete) return close("answer incomplete")
        // The connection is busy until the caller has taken the answer: closing it would cut what is still buffered.
        if (current.reply.hasUnsentBytes) armWriteTimer()
        current.reply.afterLastWrite { failure -> if (failure == null) sent(current) else close("answer not written: $failure") }
    }

    private fun sent(current: Running) {
        writeTimer?.cancel(false)
        running = null
        if (!current.reply.keepsOpen) return close("announced in the last answer")
        continueRequest()
        runNext()
        if (!isBusy) armIdleTimer()
    }

    private fun refuse(status: Int) {
        refusal = status
        report(head?.withoutBody(), ConnectionObserver.Stage.RECEIVING, "refused with $status")
        head = null
        dropBody()
        timer?.cancel(false)
        if (running == null) sendRefusal()
    }

    private fun sendRefusal() {
        val status = refusal ?: return
        timer?.cancel(false)
        HttpResponseWriter(channel, mayKeepOpen = false).send(status, emptyList(), ByteArray(0))
        // Closing a socket with unread bytes resets the connection, and the caller could lose the answer.
        channel.eventLoop().schedule(Runnable { close("refused with $status") }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        writeTimer?.cancel(false)
        val byCaller = closeReason == null
        // The log line of a request in progress tells already that its caller has left.
        if (!byCaller || running?.job?.isActive != true || waiting.isNotEmpty()) reportUnanswered(closeReason ?: "closed by the caller")
        head = null
        dropBody()
        waiting.forEach { it.body.drop() }
        waiting.clear()
        running?.job?.cancel()
    }

    private fun dropBody() {
        body?.drop()
        body = null
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (channel.isWritable) HttpResponseWriter.resumeWriter(channel)
        context.fireChannelWritabilityChanged()
    }

    @Deprecated("Netty's own signature")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) = close(cause.toString())

    /** Closes the connection when it has been idle for the timeout in force at that time. */
    private fun armIdleTimer(since: MonotonicTime = loop.now()) {
        val leftMillis = limits().idleTimeoutMillis + IDLE_GRACE_MILLIS - (loop.now() - since)
        if (leftMillis > 0) armTimer(leftMillis) { armIdleTimer(since) } else close("idle")
    }

    private fun armTimer(
        millis: Long,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = channel.eventLoop().schedule(Runnable { action() }, millis, TimeUnit.MILLISECONDS)
    }

    /** Limits the time in which the caller reads the rest of a complete answer. */
    private fun armWriteTimer() {
        val millis = limits().idleTimeoutMillis + IDLE_GRACE_MILLIS
        writeTimer = channel.eventLoop().schedule(Runnable { close("answer not read") }, millis, TimeUnit.MILLISECONDS)
    }

    private class Pending(
        val request: IncomingRequest,
        val keepAlive: Boolean,
        val body: BodyBuffer,
    )

    private class Running(
        val request: IncomingRequest,
        val reply: HttpResponseWriter,
        val job: Job,
    )

    private companion object {
        /** Milliseconds beyond the idle timeout before the connection is closed, so that a request already in transit is still served. */
        const val IDLE_GRACE_MILLIS = 2_000L

        /** Milliseconds for which the rest of a refused request is read and discarded. */
        const val LINGER_MILLIS = 1_000L

        const val STATUS_BAD_REQUEST = 400
        const val STATUS_REQUEST_TIMEOUT = 408
        const val STATUS_BODY_TOO_LARGE = 413
        const val STATUS_HEAD_TOO_LARGE = 431
        const val STATUS_UNAVAILABLE = 503
    }
}

private fun HttpRequest.withoutBody() = IncomingRequest(method().name(), uri(), headers(), ByteArray(0))

private fun Throwable?.isTooLong(): Boolean = this is TooLongHttpHeaderException || this is TooLongHttpLineException
