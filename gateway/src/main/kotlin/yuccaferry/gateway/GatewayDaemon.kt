// Wires one gateway daemon: callers' server, readiness, peers, and the order of leaving.
package yuccaferry.gateway

import kotlinx.coroutines.delay
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.routing.CallerLimits
import yuccaferry.gateway.net.CallerServer
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.Header
import yuccaferry.gateway.net.RequestHandler
import yuccaferry.gateway.net.ServerConnector
import yuccaferry.gateway.peers.PeerLink
import yuccaferry.gateway.peers.WorkBoard
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.request.AttemptLog
import yuccaferry.gateway.request.AttemptTracker
import yuccaferry.gateway.request.CallForwarder
import yuccaferry.gateway.request.Gateway
import yuccaferry.gateway.request.Repeats
import yuccaferry.gateway.request.StreamForwarder
import yuccaferry.gateway.request.TargetHealth
import yuccaferry.gateway.request.TargetSelector
import yuccaferry.gateway.view.FleetView
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * One daemon.
 *
 * @param name name in logs and at peers.
 * @param limits the limits in force now.
 */
class GatewayDaemon(
    private val loop: EventLoop,
    name: String,
    zone: ZoneName,
    private val fleet: FleetView,
    format: RequestFormat,
    memory: EngineMemory,
    private val limits: () -> GatewayLimits,
    private val telemetry: Telemetry,
    random: Random,
) {
    private val board = WorkBoard()

    /** Messages to and from other daemons. */
    val peers = PeerLink(loop, name, board, telemetry)
    private val connector = ServerConnector(loop)
    private val health = TargetHealth()
    private val selector = TargetSelector(fleet, board, health, zone, limits, random)
    private val tracker = AttemptTracker(loop, format, health, Repeats(fleet, limits), AttemptLog(telemetry))
    private val calls = CallForwarder(loop, connector, format, selector, tracker, board)
    private val streams = StreamForwarder(loop, connector, format, selector, tracker, board, memory, random)
    private val gateway = Gateway(loop, fleet, format, calls, streams, telemetry, random)
    private val callers = CallerServer(loop, ::callerLimits, gateway)
    private val readiness =
        CallerServer(
            loop,
            ::callerLimits,
            RequestHandler {
                _,
                reply,
                ->
                reply.whole(readyStatus(), emptyList(), ByteArray(0))
            },
        )

    /** Connections on which a request is being answered. */
    val busyConnections: Int get() = callers.busyConnections

    private val isReady: Boolean get() = !callers.isLeaving && fleet.isReady

    /** Listens for callers, readiness checks and readers of [metrics], and says where; throws `IOException` when it can't. */
    suspend fun listen(
        callersAddress: InetSocketAddress,
        readinessAddress: InetSocketAddress,
        metricsAddress: InetSocketAddress,
        metrics: () -> String,
    ): Listening {
        val scraped = RequestHandler { _, reply -> reply.whole(STATUS_OK, METRICS_HEADERS, metrics().toByteArray()) }
        return Listening(
            callers = callers.listen(callersAddress),
            readiness = readiness.listen(readinessAddress),
            metrics = CallerServer(loop, ::callerLimits, scraped).listen(metricsAddress),
        )
    }

    /** Stops taking new callers, serves what comes until they are gone, and returns when nothing is left or time is up. */
    suspend fun leave() {
        val start = loop.now()
        val end = start + ((limits().graceSeconds * MILLIS_PER_SECOND).toLong() - EXIT_MILLIS)
        telemetry.event("leaving", Field("busy", callers.busyConnections), Field("open", callers.openConnections))
        callers.leave()
        delay(ROTATION_MILLIS)
        while (loop.now() < end) {
            callers.closeIdle()
            if (callers.openConnections == 0) break
            delay(POLL_MILLIS)
        }
        telemetry.event("left", Field("cut", callers.busyConnections), Field("ms", loop.now() - start))
    }

    private fun readyStatus(): Int = if (isReady) STATUS_OK else STATUS_UNAVAILABLE

    private fun callerLimits(): CallerLimits = fleet.configuration?.limits ?: STARTING_LIMITS

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val MILLIS_PER_SECOND = 1_000

        /** Milliseconds before the end of the grace time at which the process ends by itself. */
        const val EXIT_MILLIS = 300L

        /** Milliseconds until the platform sends no new connections: two missed checks, one a second, and a margin. */
        const val ROTATION_MILLIS = 2_500L
        const val POLL_MILLIS = 50L

        val METRICS_HEADERS = listOf(Header("Content-Type", "text/plain; version=0.0.4"))

        /** Limits before the first configuration. */
        val STARTING_LIMITS =
            CallerLimits(headerBytes = 16_384, bodyBytes = 4_194_304, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
    }
}

/** Where a daemon listens. */
data class Listening(
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val metrics: InetSocketAddress,
)
