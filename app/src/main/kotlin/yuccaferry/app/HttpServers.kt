// Starts Ktor servers on Netty.
package yuccaferry.app

import io.ktor.server.application.Application
import io.ktor.server.application.serverConfig
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.applicationEnvironment
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine

/** Disables Ktor's read and write timeouts. */
private const val NO_TIMEOUT_SECONDS = 0

internal typealias NettyServer = EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration>

/** Starts a server on [listener] with the routes that [install] adds. */
internal suspend fun startServer(
    listener: Listener,
    install: Application.() -> Unit,
): NettyServer {
    val config = serverConfig(applicationEnvironment()) { module { install() } }
    val server =
        embeddedServer(Netty, config) {
            connector {
                host = listener.host
                port = listener.port
            }
            requestReadTimeoutSeconds = NO_TIMEOUT_SECONDS
            responseWriteTimeoutSeconds = NO_TIMEOUT_SECONDS
        }
    server.startSuspend(wait = false)
    return server
}

/** The port that [server] listens on. */
internal suspend fun portOf(server: NettyServer): Int =
    server.engine
        .resolvedConnectors()
        .first()
        .port
