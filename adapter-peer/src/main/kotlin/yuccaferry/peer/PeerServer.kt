// The gRPC server for calls between daemons: one port, with one service for each part of the daemon that answers peers.
package yuccaferry.peer

import io.grpc.HandlerRegistry
import io.grpc.Server
import io.grpc.ServerMethodDefinition
import io.grpc.ServerServiceDefinition
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val CLOSE_WAIT_MILLIS = 1_000L

/** Serves [services], and those added later, on [host] and [port]; port 0 picks a free one. */
class PeerServer(
    host: String,
    port: Int,
    services: List<ServerServiceDefinition> = emptyList(),
) : AutoCloseable {
    private val registry = ServiceRegistry().apply { services.forEach { add(it) } }
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(host, port))
            .fallbackHandlerRegistry(registry)
            .build()

    /** The port that the server listens on, once started. */
    val port: Int get() = server.port

    /** Adds [service]; allowed before and after [start]. */
    fun add(service: ServerServiceDefinition) {
        registry.add(service)
    }

    /** Binds the port; throws an IOException when it is in use. */
    fun start() {
        server.start()
    }

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
    }
}

/** The methods of all added services, by full name. */
private class ServiceRegistry : HandlerRegistry() {
    private val methods = ConcurrentHashMap<String, ServerMethodDefinition<*, *>>()

    fun add(service: ServerServiceDefinition) {
        service.methods.forEach { methods[it.methodDescriptor.fullMethodName] = it }
    }

    override fun lookupMethod(
        methodName: String,
        authority: String?,
    ): ServerMethodDefinition<*, *>? = methods[methodName]
}
