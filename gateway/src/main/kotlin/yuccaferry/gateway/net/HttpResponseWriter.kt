// Writes the response to one request.
package yuccaferry.gateway.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AttributeKey
import kotlinx.coroutines.CompletableDeferred

/** One header. */
data class Header(
    val name: String,
    val value: String,
)

/** Writes the response to one request: either [send] alone, or [start], any number of [write] and [finish]. */
class HttpResponseWriter internal constructor(
    private val channel: Channel,
    private val mayKeepOpen: Boolean,
    private val isDraining: () -> Boolean = { false },
) {
    /** Whether the status line has been sent, or may have been. */
    var isStarted = false
        private set

    /** Whether the complete response has been written to the connection. */
    var isComplete = false
        private set

    internal var keepsOpen = false
        private set

    private var lastWrite: ChannelFuture? = null

    /** Whether a part of what was written is still buffered in this process. */
    internal val hasUnsentBytes: Boolean get() = lastWrite?.isDone == false

    /** Sends a complete response. */
    fun send(
        status: Int,
        headers: List<Header>,
        body: ByteArray,
    ) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body))
        fill(response, headers)
        if (!response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        isComplete = true
        lastWrite = channel.writeAndFlush(response)
    }

    /** Sends the status line and headers of a chunked response, whose length is not known yet. */
    fun start(
        status: Int,
        headers: List<Header>,
    ) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        fill(response, headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        channel.write(response)
    }

    /** Sends [bytes] of the body and suspends while the connection's write buffer is full. */
    suspend fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!channel.isWritable) awaitWritable()
    }

    /** Ends the body. */
    fun finish() {
        isComplete = true
        lastWrite = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    internal fun continueRequest() {
        channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
    }

    /** Calls [action] when the complete response has been handed to the operating system, with the failure if that isn't possible. */
    internal fun afterLastWrite(action: (failure: Throwable?) -> Unit) {
        checkNotNull(lastWrite).addListener { action(it.cause()) }
    }

    /** Closes [memory] when none of the bytes written are buffered in this process any more, because they are sent or can't be. */
    internal fun closeWhenSent(memory: AutoCloseable) {
        lastWrite?.addListener { memory.close() } ?: memory.close()
    }

    private fun fill(
        response: HttpResponse,
        headers: List<Header>,
    ) {
        headers.forEach { response.headers().add(it.name, it.value) }
        isStarted = true
        keepsOpen = mayKeepOpen && !isDraining()
        if (!keepsOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private suspend fun awaitWritable() {
        val signal = CompletableDeferred<Unit>()
        channel.attr(WRITABLE).set(signal)
        if (!channel.isWritable) signal.await()
    }

    internal companion object {
        private val WRITABLE = AttributeKey.valueOf<CompletableDeferred<Unit>>("writable")

        /** Resumes the writer that is suspended until [channel] is writable. */
        fun resumeWriter(channel: Channel) {
            channel.attr(WRITABLE).getAndSet(null)?.complete(Unit)
        }
    }
}
