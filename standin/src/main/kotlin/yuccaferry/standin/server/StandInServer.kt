/*
 * The HTTP server of a stand-in. It can close every connection at once, as a crashed process would, and end one call
 * without a response. Neither affects calls below `/standin`, with which tests control the stand-in.
 */
package yuccaferry.standin.server

import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.EngineConnectorBuilder
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.path
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.RoutingPipelineCall
import io.netty.channel.Channel
import io.netty.channel.group.DefaultChannelGroup
import io.netty.util.AttributeKey
import io.netty.util.concurrent.GlobalEventExecutor

private const val ADMIN_PREFIX = "/standin/"
private const val EVENT_LOOP_THREADS = 2
private const val CALL_THREADS = 4
private const val RESPONSE_WRITE_TIMEOUT_SECONDS = 60
private val ADMIN = AttributeKey.valueOf<Boolean>("standin.admin")

/** Returns whether calls are served at the moment; checked for every call except those below `/standin`. */
internal fun interface Availability {
    fun available(): Boolean
}

/** HTTP server at [listen] with the routes of [module]. */
internal class StandInServer(
    private val listen: HostPort,
    private val availability: Availability = Availability { true },
    private val module: Application.() -> Unit,
) {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        embeddedServer(Netty, configure = { configure(this) }) {
            intercept(ApplicationCallPipeline.Setup) { if (!admit(call)) finish() }
            module()
        }

    /** Starts to accept connections and returns the address with the port that it listens on. */
    suspend fun start(): HostPort {
        server.start(wait = false)
        return HostPort(
            listen.host,
            server.engine
                .resolvedConnectors()
                .first()
                .port,
        )
    }

    /** Closes every connection whose last call was not below `/standin`, without finishing the calls that run on it. */
    fun dropConnections() {
        connections.close { !(it.attr(ADMIN).get() ?: false) }
    }

    /** Stops the server without a grace period. */
    fun stop() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 0)
    }

    private fun configure(configuration: NettyApplicationEngine.Configuration) {
        configuration.connectors +=
            EngineConnectorBuilder().apply {
                host = listen.host
                port = listen.port
            }
        configuration.connectionGroupSize = 1
        configuration.workerGroupSize = EVENT_LOOP_THREADS
        configuration.callGroupSize = CALL_THREADS
        configuration.enableHttp2 = false
        configuration.responseWriteTimeoutSeconds = RESPONSE_WRITE_TIMEOUT_SECONDS
        configuration.channelPipelineConfig = { connections.add(channel()) }
    }

    private fun admit(call: ApplicationCall): Boolean {
        val admin = call.request.path().startsWith(ADMIN_PREFIX)
        call.connection().attr(ADMIN).set(admin)
        val admitted = admin || availability.available()
        if (!admitted) call.closeConnection()
        return admitted
    }
}

/** Closes the connection of this call at once; bytes already written may or may not arrive. */
internal fun ApplicationCall.closeConnection() {
    connection().close()
}

private fun ApplicationCall.connection(): Channel =
    when (this) {
        is RoutingCall -> pipelineCall.connection()
        is RoutingPipelineCall -> engineCall.connection()
        is NettyApplicationCall -> context.channel()
        else -> error("not a call of the Netty engine: $this")
    }
