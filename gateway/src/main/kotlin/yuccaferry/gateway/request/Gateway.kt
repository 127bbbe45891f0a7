// Entry point of callers' requests: forwards those that the configuration allows and refuses all others at once.
package yuccaferry.gateway.request

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.Departure
import yuccaferry.decisions.routing.Account
import yuccaferry.decisions.routing.RequestKind
import yuccaferry.decisions.routing.Route
import yuccaferry.decisions.routing.RoutingConfiguration
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.net.RequestHandler
import yuccaferry.gateway.port.RequestFormat
import yuccaferry.gateway.port.RequestHead
import yuccaferry.gateway.view.FleetView
import yuccaferry.model.MonotonicTime
import kotlin.random.Random

/** Handles callers' requests and logs the outcome of each. */
internal class Gateway(
    private val loop: EventLoop,
    private val fleet: FleetView,
    private val format: RequestFormat,
    private val calls: CallForwarder,
    private val streams: StreamForwarder,
    private val telemetry: Telemetry,
    private val random: Random,
) : RequestHandler {
    private var startupWaitEnd: MonotonicTime? = null
    private val running = mutableSetOf<Exchange>()

    /** How this daemon leaves; null while it stays. */
    var departure: Departure? = null

    override suspend fun handle(
        request: IncomingRequest,
        reply: HttpResponseWriter,
    ) {
        val arrival = loop.now()
        val exchange = Exchange(currentCoroutineContext().job).also { running += it }
        var head: RequestHead? = null
        var outcome = "caller_left"
        try {
            head = format.readRequest(request)
            outcome = answer(request, head, reply, exchange)
        } catch (cancelled: CancellationException) {
            if (exchange.isEnding) outcome = answerAtExit(head, exchange, reply)
            throw cancelled
        } catch (unexpected: Throwable) {
            // An Error ends this request only, like any other defect.
            outcome = "defect"
            val where = unexpected.stackTrace.firstOrNull()
            // Answered first, because what failed may make the log fail too.
            try {
                if (!reply.isStarted) format.refuse(reply, head?.id, STATUS_BAD_GATEWAY)
            } finally {
                telemetry.event(
                    "defect",
                    Field("request", head?.id),
                    Field("error", unexpected),
                    Field("at", where),
                    severity = Severity.ERROR,
                )
            }
        } finally {
            running -= exchange
            val millis = loop.now() - arrival
            telemetry.event("request_ended", Field("request", head?.id), Field("outcome", outcome), Field("ms", millis))
            telemetry.time("yuccaferry_request_duration", millis, Field("outcome", outcome.substringBefore(':')))
        }
    }

    /** Ends all requests: answers those whose answers have not begun, and cuts the others. */
    fun endAll() =
        running.toList().forEach {
            it.isEnding = true
            it.job.cancel()
        }

    private fun answerAtExit(
        head: RequestHead?,
        exchange: Exchange,
        reply: HttpResponseWriter,
    ): String {
        if (reply.isStarted) return "cut:exit"
        exchange.admitted?.attempts?.let { return it.refuseAtExit(reply) }
        format.refuse(reply, head?.id, STATUS_UNAVAILABLE)
        return "leaving"
    }

    private suspend fun answer(
        request: IncomingRequest,
        head: RequestHead,
        reply: HttpResponseWriter,
        exchange: Exchange,
    ): String {
        if (!fleet.isReady) awaitStartup()
        val configuration = fleet.configuration
        if (configuration == null || !fleet.isReady) {
            format.refuse(reply, head.id, STATUS_UNAVAILABLE, STARTUP_RETRY_AFTER_MILLIS)
            return "not_ready"
        }
        val route = configuration.routes.find(head.host, request.uri)
        val account = head.key?.let { configuration.accounts.holding(it) }
        val status = refusalStatus(configuration, head, route, account)
        if (route == null || status != null) {
            format.refuse(reply, head.id, status ?: STATUS_NOT_FOUND)
            return "refused:$status:configuration_${configuration.version}"
        }
        return forward(request, head, route, account, configuration, reply, exchange)
    }

    /** Suspends until the store's first answer, which arrives within milliseconds after the start unless the store is unreachable. */
    private suspend fun awaitStartup() {
        val end = startupWaitEnd ?: (loop.now() + STARTUP_WAIT_MILLIS).also { startupWaitEnd = it }
        val left = end - loop.now()
        if (left > 0) withTimeoutOrNull(left) { fleet.awaitReady() }
    }

    private fun refusalStatus(
        configuration: RoutingConfiguration,
        head: RequestHead,
        route: Route?,
        account: Account?,
    ): Int? =
        when {
            head.id == null -> STATUS_BAD_REQUEST
            route == null -> STATUS_NOT_FOUND
            configuration.accounts.requireKeys && !route.isPublic && account == null -> STATUS_UNAUTHORIZED
            else -> null
        }

    private suspend fun forward(
        request: IncomingRequest,
        head: RequestHead,
        route: Route,
        account: Account?,
        configuration: RoutingConfiguration,
        reply: HttpResponseWriter,
        exchange: Exchange,
    ): String {
        val service = configuration.services[route.serviceAt(random.nextDouble())]
        if (service == null) {
            format.refuse(reply, head.id, STATUS_UNAVAILABLE, STARTUP_RETRY_AFTER_MILLIS)
            return "no_service"
        }
        val now = loop.now()
        val deadline = now + minOf(head.remainingMillis ?: route.timeoutMillis, route.timeoutMillis)
        if (departure?.accepts(now, deadline) == false) {
            // Without Retry-After, because any other daemon can serve the request at once.
            format.refuse(reply, head.id, STATUS_UNAVAILABLE)
            return "leaving"
        }
        val urgency = configuration.urgencyOf(route, account, service.name)
        val admitted = AdmittedRequest(request, head, route, service, account, configuration.version, now, deadline, urgency)
        exchange.admitted = admitted
        return when (route.kind) {
            RequestKind.Safe, RequestKind.Unsafe -> calls.forward(admitted, reply)
            is RequestKind.Stream -> streams.forward(admitted, route.kind as RequestKind.Stream, reply)
        }
    }

    /** A request in progress. */
    private class Exchange(
        val job: Job,
    ) {
        var admitted: AdmittedRequest? = null
        var isEnding = false
    }

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_BAD_GATEWAY = 502
        const val STATUS_UNAVAILABLE = 503

        /** Milliseconds from the first request for which requests wait for the first configuration: one call to a slow store. */
        const val STARTUP_WAIT_MILLIS = 800L

        /** Milliseconds after which a caller may retry at a daemon that has just started: one store call and its retry. */
        const val STARTUP_RETRY_AFTER_MILLIS = 300L
    }
}
