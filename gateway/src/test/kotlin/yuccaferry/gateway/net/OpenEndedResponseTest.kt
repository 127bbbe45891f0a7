package yuccaferry.gateway.net

import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Responses without a length, whose connection ends while the request is, or is no longer, being written. */
class OpenEndedResponseTest {
    private val loop = EventLoop()
    private val server =
        ServerSocket().also {
            it.receiveBufferSize = SMALL_BUFFER_BYTES
            it.bind(InetSocketAddress("127.0.0.1", 0))
        }

    @AfterTest
    fun close() {
        server.close()
        loop.close()
    }

    /** Sends a request of [bodyBytes] and returns the connection and its other end. */
    private fun send(bodyBytes: Int): Pair<HttpClientConnection, Socket> {
        val connection = onLoop { checkNotNull(HttpClientConnector(loop).connect(address(), CONNECT_MILLIS)) }
        val headers = DefaultHttpHeaders().set("Host", "h").set("Content-Length", bodyBytes)
        onLoop { connection.send(OutgoingRequest("POST", "/", headers, ByteArray(bodyBytes))) }
        return connection to server.accept()
    }

    /** Returns the last part of the response to a request of [bodyBytes] whose connection [end] ends after the other parts arrived. */
    private fun lastPart(
        bodyBytes: Int,
        end: (Socket) -> Unit,
    ): HttpResponsePart {
        val (connection, socket) = send(bodyBytes)
        return socket.use {
            it.write(OPEN_ENDED)
            assertIs<HttpResponsePart.Head>(next(connection))
            assertIs<HttpResponsePart.Piece>(next(connection))
            end(it)
            next(connection)
        }
    }

    private fun next(connection: HttpClientConnection): HttpResponsePart = onLoop { checkNotNull(connection.receive(WAIT_MILLIS)) }

    private fun address() = InetSocketAddress("127.0.0.1", server.localPort)

    private fun <T> onLoop(action: suspend () -> T): T = runBlocking(loop.scope.coroutineContext) { action() }

    private fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Runs [action] while the event loop is busy, so that it then finds the effects of all of [action] at once. */
    private fun whileLoopIsBusy(action: () -> Unit) {
        val busy = CountDownLatch(1)
        val done = CountDownLatch(1)
        loop.group.next().execute {
            busy.countDown()
            done.await(WAIT_MILLIS, TimeUnit.MILLISECONDS)
        }
        busy.await()
        action()
        done.countDown()
    }

    @Nested
    inner class `while the request is being written` {
        /** Guards against a write that fails before the reset is read, and closes the connection as if its end had been reached. */
        @Test
        fun `a reset breaks the response`() {
            assertIs<HttpResponsePart.Broken>(lastPart(LONG_BYTES, ::reset))
        }

        @Test
        fun `an end of the stream breaks the response`() {
            assertIs<HttpResponsePart.Broken>(lastPart(LONG_BYTES) { it.shutdownOutput() })
        }

        /** Guards against a response that has arrived and is lost because the request can't be written to its end. */
        @Test
        fun `a reset that arrives with a response of known length leaves that complete`() {
            val (connection, socket) = send(LONG_BYTES)
            whileLoopIsBusy {
                socket.write("HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull")
                reset(socket)
            }
            assertEquals(503, assertIs<HttpResponsePart.Head>(next(connection)).status)
            assertIs<HttpResponsePart.Piece>(next(connection))
            assertEquals(HttpResponsePart.End, next(connection))
        }
    }

    @Nested
    inner class `after the request has been written` {
        @Test
        fun `the end of the stream completes the response`() = assertEquals(HttpResponsePart.End, lastPart(SHORT_BYTES) { it.close() })

        @Test
        fun `a reset breaks the response`() {
            assertIs<HttpResponsePart.Broken>(lastPart(SHORT_BYTES, ::reset))
        }
    }

    private companion object {
        const val OPEN_ENDED = "HTTP/1.1 200 OK\r\n\r\npart"

        /** Bytes of a request far beyond the kernel's buffers, and of one that fits into them. */
        const val LONG_BYTES = 67_108_864
        const val SHORT_BYTES = 4

        /** Receive buffer of the server. */
        const val SMALL_BUFFER_BYTES = 8_192
        const val CONNECT_MILLIS = 1_000L
        const val WAIT_MILLIS = 10_000L
    }
}
