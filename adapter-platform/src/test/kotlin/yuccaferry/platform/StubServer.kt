// HTTP servers for tests: one that gives a fixed answer and records the requests, and one that never answers.
package yuccaferry.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import yuccaferry.model.Address
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

internal data class RecordedRequest(
    val path: String,
    val body: String,
)

internal class StubServer(
    private val answer: String,
    private val status: Int = 200,
) : AutoCloseable {
    val requests = ConcurrentLinkedQueue<RecordedRequest>()

    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, port = 0, host = "127.0.0.1") {
            routing {
                route("{path...}") {
                    handle {
                        requests += RecordedRequest(call.request.path(), call.receiveText())
                        call.respondText(answer, ContentType.Application.Json, HttpStatusCode.fromValue(status))
                    }
                }
            }
        }.start()

    val address: Address =
        runBlocking {
            val connector = server.engine.resolvedConnectors().first()
            Address("127.0.0.1:${connector.port}")
        }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
}

/** Reads the first byte of each connection and never answers; closes the connection unless [keepOpen]. */
internal class NoResponseServer(
    private val keepOpen: Boolean,
) : AutoCloseable {
    private val socket = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    val address = Address("127.0.0.1:${socket.localPort}")

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val connection = socket.accept()
                    connection.getInputStream().read()
                    if (!keepOpen) connection.close()
                }
            }
        }
    }

    override fun close() = socket.close()
}

/** Returns an address at which nothing listens. */
internal fun closedAddress(): Address = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { Address("127.0.0.1:${it.localPort}") }
