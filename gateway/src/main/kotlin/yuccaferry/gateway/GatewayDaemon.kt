// Assembles one gateway daemon from its servers, its peer link and its forwarders, and shuts it down gracefully.
package yuccaferry.gateway

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.Departure
import yuccaferry.decisions.quarantine.PromptQuarantine
import yuccaferry.decisions.routing.CallerLimits
import yuccaferry.gateway.net.BufferBudget
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.Header
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.HttpServer
import yuccaferry.gateway.net.LoopMonitor
import yuccaferry.gateway.net.RequestHandler
import yuccaferry.gateway.peers.PeerLink
import yuccaferry.gateway.peers.TargetKnowledge
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.request.AttemptLog
import yuccaferry.gateway.request.AttemptTracker
import yuccaferry.gateway.request.CallForwarder
import yuccaferry.gateway.request.CrashDetector
import yuccaferry.gateway.request.DroppedRequestLog
import yuccaferry.gateway.request.Gateway
import yuccaferry.gateway.request.MemoryReservations
import yuccaferry.gateway.request.PromptGuard
import yuccaferry.gateway.request.RetryPolicy
import yuccaferry.gateway.request.StreamForwarder
import yuccaferry.gateway.request.TargetNotices
import yuccaferry.gateway.request.TargetSelector
import yuccaferry.gateway.view.FleetView
import yuccaferry.model.DaemonName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * A daemon that forwards callers' requests to targets.
 *
 * @param name identifies the daemon in logs and in messages to peers.
 * @param limits returns the limits currently in force.
 */
class GatewayDaemon(
    private val loop: EventLoop,
    name: String,
    zone: ZoneName,
    private val fleet: FleetView,
    format: RequestFormat,
    memory: EngineMemory,
    notices: TargetNotices,
    private val limits: () -> GatewayLimits,
    private val telemetry: Telemetry,
    random: Random,
) {
    /** The tasks without which this daemon doesn't report that it is ready. */
    val tasks = BackgroundTasks(loop, telemetry)
    private val loopMonitor = LoopMonitor(loop, telemetry)
    private val targets = TargetKnowledge(telemetry)
    private val quarantine = PromptQuarantine()

    /** Exchanges messages with other daemons. */
    val peers = PeerLink(loop, DaemonName(name), zone, targets, quarantine, telemetry)
    private val connector = HttpClientConnector(loop)
    private val selector = TargetSelector(fleet, targets, notices, DaemonName(name), zone, limits, random)
    private val tracker = AttemptTracker(loop, format, targets, RetryPolicy(fleet, limits), AttemptLog(telemetry))
    private val buffers = BufferBudget()
    private val calls = CallForwarder(loop, connector, format, selector, tracker, targets.work, notices, buffers)
    private val reservations = MemoryReservations(loop, memory, random)
    private val guard = PromptGuard(loop, quarantine, CrashDetector(connector, telemetry), telemetry, peers::reportQuarantine)
    private val streams =
        StreamForwarder(loop, connector, format, selector, tracker, targets.work, reservations, notices, guard, random, buffers, telemetry)
    private val gateway = Gateway(loop, fleet, format, calls, streams, telemetry, random)
    private val dropped = DroppedRequestLog(format, telemetry)
    private val callerServer = HttpServer(loop, ::callerLimits, gateway, dropped)
    private val readinessServer =
        HttpServer(
            loop,
            ::callerLimits,
            RequestHandler {
                _,
                reply,
                ->
                reply.send(readyStatus(), emptyList(), ByteArray(0))
            },
        )

    init {
        fleet.onTarget = { before, target -> targets.paces.observe(before, target, loop.now()) }
    }

    /** Number of caller connections on which a request is being received or answered. */
    val busyConnections: Int get() = callerServer.busyConnections

    /** Connections, messages between daemons since the start, and the lag of the loop. */
    val statistics: List<Field>
        get() =
            listOf(
                Field("connections", callerServer.openConnections),
                Field("peer_sent", peers.sentMessages),
                Field("peer_received", peers.receivedMessages),
                Field("loop_lag_ms", loopMonitor.lagMillis),
            )

    private val isReady: Boolean get() = !callerServer.isDraining && fleet.isReady && tasks.areHealthy

    /**
     * Listens for callers, readiness checks and scrapes of [metrics]; returns the bound addresses.
     *
     * @throws java.io.IOException if an address can't be bound.
     */
    suspend fun listen(
        callersAddress: InetSocketAddress,
        readinessAddress: InetSocketAddress,
        metricsAddress: InetSocketAddress,
        metrics: () -> String,
    ): ListenAddresses {
        tasks.start("loop", isRequired = false) { loopMonitor.follow(it) }
        val metricsHandler = RequestHandler { _, reply -> reply.send(STATUS_OK, METRICS_HEADERS, metrics().toByteArray()) }
        return ListenAddresses(
            callers = callerServer.listen(callersAddress),
            readiness = readinessServer.listen(readinessAddress),
            metrics = HttpServer(loop, ::callerLimits, metricsHandler).listen(metricsAddress),
        )
    }

    /**
     * Shuts down gracefully: reports that the daemon isn't ready, answers requests that still arrive, and returns when all connections are
     * closed and all reserved memory is released, or the grace time is nearly over. Requests that may not be answered by then are refused
     * once callers can know that the daemon leaves. Further calls wait for the end of the first.
     *
     * @param deregister makes this daemon unknown to its peers; called when its callers are served, and cancelled if it takes too long.
     */
    suspend fun leave(deregister: suspend () -> Unit = {}) {
        val start = loop.now()
        val departure = gateway.departure ?: depart(start)
        val end = departure.end
        delay(minOf(READINESS_PROPAGATION_MILLIS, maxOf(0, end - start)))
        while (loop.now() < end) {
            callerServer.closeIdle()
            if (callerServer.openConnections == 0 && reservations.isEmpty) break
            delay(POLL_MILLIS)
        }
        coroutineScope {
            launch { withTimeoutOrNull(minOf(DEREGISTER_MILLIS, end + RELEASE_MILLIS - loop.now())) { deregister() } }
            gateway.endAll()
            launch { awaitLastAnswers() }
            reservations.closeAll(RELEASE_MILLIS)
        }
        callerServer.reportUnanswered("exit")
        telemetry.event("left", Field("cut", callerServer.busyConnections), Field("ms", loop.now() - start))
    }

    /** Waits until the answers to the last requests are sent, for [RELEASE_MILLIS] at most. */
    private suspend fun awaitLastAnswers() {
        withTimeoutOrNull(RELEASE_MILLIS) { while (callerServer.busyConnections > 0) delay(LAST_POLL_MILLIS) }
    }

    private fun depart(start: MonotonicTime): Departure {
        telemetry.event("leaving", Field("busy", callerServer.busyConnections), Field("open", callerServer.openConnections))
        callerServer.drain()
        val graceMillis = (limits().graceSeconds * MILLIS_PER_SECOND).toLong()
        val departure = Departure(start + READINESS_PROPAGATION_MILLIS, start + (graceMillis - EXIT_MARGIN_MILLIS))
        gateway.departure = departure
        return departure
    }

    private fun readyStatus(): Int = if (isReady) STATUS_OK else STATUS_UNAVAILABLE

    private fun callerLimits(): CallerLimits = fleet.configuration?.limits ?: INITIAL_LIMITS

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val MILLIS_PER_SECOND = 1_000

        /** Milliseconds before the end of the grace time at which the process exits on its own. */
        const val EXIT_MARGIN_MILLIS = 300L

        /** Milliseconds within [EXIT_MARGIN_MILLIS] for the release of memory that is still reserved: a few round trips. */
        const val RELEASE_MILLIS = 200L

        /** Milliseconds until the platform stops sending new connections: two failed readiness checks, one per second, plus a margin. */
        const val READINESS_PROPAGATION_MILLIS = 2_500L
        const val POLL_MILLIS = 50L

        /** Milliseconds between checks whether the last answers are sent: a fraction of [RELEASE_MILLIS]. */
        const val LAST_POLL_MILLIS = 5L

        /** Milliseconds for the calls that make peers forget this daemon, if the grace time lasts: two calls to a slow store. */
        const val DEREGISTER_MILLIS = 1_000L

        val METRICS_HEADERS = listOf(Header("Content-Type", "text/plain; version=0.0.4"))

        /** Limits that apply until the first configuration is read. */
        val INITIAL_LIMITS =
            CallerLimits(headerBytes = 16_384, bodyBytes = 4_194_304, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)
    }
}

/** Addresses that [GatewayDaemon.listen] has bound, with their actual ports. */
data class ListenAddresses(
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val metrics: InetSocketAddress,
)
