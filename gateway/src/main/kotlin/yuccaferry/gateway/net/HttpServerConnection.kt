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
import java.util.concurrent.TimeUnit

internal class HttpServerConnection(
    private val loop: EventLoop,
    private val channel: Channel,
    private val limits: () -> CallerLimits,
    private val isDraining: () -> Boolean,
    private val bodies: BufferBudget,
    private val handler: RequestHandler,
) : ChannelInboundHandlerAdapter() {
    private var head: HttpRequest? = null
    private var body: BodyBuffer? = null
    private val waiting = ArrayDeque<Pending>()
    private var running: Job? = null
    private var refused = false
    private var timer: ScheduledFuture<*>? = null

    val isBusy: Boolean get() = running != null || waiting.isNotEmpty() || head != null

    fun close() {
        channel.close()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        armTimer(limits().idleTimeoutMillis + IDLE_GRACE_MILLIS) { close() }
        context.fireChannelActive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (!refused) read(message as HttpObject)
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
        if (part is HttpContent && head != null && !refused) append(part)
    }

    private fun begin(request: HttpRequest) {
        head = request
        dropBody()
        val current = limits()
        when {
            !hasSupportedTransferCoding(request) -> {
                refuse(STATUS_BAD_REQUEST)
            }

            HttpUtil.getContentLength(request, 0L) > current.bodyBytes -> {
                refuse(STATUS_BODY_TOO_LARGE)
            }

            HttpUtil.is100ContinueExpected(request) -> {
                HttpResponseWriter(channel, mayKeepOpen = true).continueRequest()
                armTimer(current.headerTimeoutMillis + current.idleTimeoutMillis) { refuse(STATUS_REQUEST_TIMEOUT) }
            }

            else -> {
                armTimer(current.headerTimeoutMillis + current.idleTimeoutMillis) { refuse(STATUS_REQUEST_TIMEOUT) }
            }
        }
    }

    private fun append(part: HttpContent) {
        val received = body ?: BodyBuffer(bodies.share()).also { body = it }
        if (!received.add(ByteBufUtil.getBytes(part.content()))) {
            // No part of the request has been handled, so that the caller may send it again, to any daemon.
            refuse(STATUS_UNAVAILABLE)
            return
        }
        if (received.size > limits().bodyBytes) {
            refuse(STATUS_BODY_TOO_LARGE)
            return
        }
        if (part !is LastHttpContent) return
        val request = checkNotNull(head)
        head = null
        body = null
        timer?.cancel(false)
        val whole = IncomingRequest(request.method().name(), request.uri(), request.headers(), received.take())
        waiting.addLast(Pending(whole, HttpUtil.isKeepAlive(request), received))
        runNext()
    }

    private fun runNext() {
        if (running != null || !channel.isActive) return
        val next = waiting.removeFirstOrNull() ?: return
        val reply = HttpResponseWriter(channel, mayKeepOpen = next.keepAlive, isDraining = isDraining)
        val job = loop.scope.launch(start = CoroutineStart.LAZY) { handler.handle(next.request, reply) }
        running = job
        job.invokeOnCompletion {
            loop.group.next().execute {
                next.body.drop()
                ended(reply)
            }
        }
        job.start()
    }

    private fun ended(reply: HttpResponseWriter) {
        running = null
        if (!reply.isComplete || !reply.keepsOpen) {
            reply.closeAfterAnswer()
            return
        }
        if (head == null) armTimer(limits().idleTimeoutMillis + IDLE_GRACE_MILLIS) { close() }
        runNext()
    }

    private fun refuse(status: Int) {
        refused = true
        head = null
        dropBody()
        timer?.cancel(false)
        val reply = HttpResponseWriter(channel, mayKeepOpen = false)
        reply.send(status, emptyList(), ByteArray(0))
        // Closing a socket with unread bytes resets the connection, and the caller could lose the answer.
        channel.eventLoop().schedule(Runnable { close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        dropBody()
        waiting.forEach { it.body.drop() }
        waiting.clear()
        running?.cancel()
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
    ) {
        context.close()
    }

    private fun armTimer(
        millis: Long,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = channel.eventLoop().schedule(Runnable { if (running == null) action() }, millis, TimeUnit.MILLISECONDS)
    }

    private class Pending(
        val request: IncomingRequest,
        val keepAlive: Boolean,
        val body: BodyBuffer,
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

private fun Throwable?.isTooLong(): Boolean = this is TooLongHttpHeaderException || this is TooLongHttpLineException
