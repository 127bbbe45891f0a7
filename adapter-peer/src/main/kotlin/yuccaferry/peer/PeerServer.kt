// The server of the calls between daemons: one port, one service for each part of the daemon that answers peers.
package yuccaferry.peer

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.util.MutableHandlerRegistry
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val CLOSE_WAIT_MILLIS = 1_000L

/** Serves on [host] and [port]; port zero picks a free one. */
class PeerServer(
    host: String,
    port: Int,
) : AutoCloseable {
    private val services = MutableHandlerRegistry()
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(host, port))
            .fallbackHandlerRegistry(services)
            .build()

    /** The port that is listened on, once started. */
    val port: Int get() = server.port

    /** Adds [service], also after the start. */
    fun add(service: ServerServiceDefinition) {
        services.addService(service)
    }

    /** Binds the port; throws an I/O exception when it is taken. */
    fun start() {
        server.start()
    }

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }
}
