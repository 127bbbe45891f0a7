// The server of the calls between daemons: one port, one service for each part of the daemon that answers peers.
package yuccaferry.peer

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val CLOSE_WAIT_MILLIS = 1_000L

/** Serves [services] on [host] and [port]; port zero picks a free one. */
class PeerServer(
    host: String,
    port: Int,
    services: List<ServerServiceDefinition>,
) : AutoCloseable {
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(host, port))
            .apply { services.forEach { addService(it) } }
            .build()

    /** The port that is listened on, once started. */
    val port: Int get() = server.port

    /** Binds the port; throws an I/O exception when it is taken. */
    fun start() {
        server.start()
    }

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }
}
