/*
 * Decides whether a target that is silent on an open connection has failed. An open connection to a host that crashed shows no failure, so
 * the target is asked for another one. A target at its limit of connections refuses that as well and still serves the open one.
 */
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.Reachability
import yuccaferry.gateway.view.Target

/** Checks [target] while it is silent about [request]. */
internal class SilenceCheck(
    private val connector: HttpClientConnector,
    private val telemetry: Telemetry,
    private val request: AdmittedRequest,
    private val target: Target,
    firstCheckMillis: Long,
) {
    private var refusals = 0

    /** Milliseconds of silence until the next check. */
    var pauseMillis = firstCheckMillis
        private set

    /** Returns whether the target has failed. */
    suspend fun hasFailed(): Boolean =
        when (connector.probe(target.address, CONNECT_MILLIS)) {
            Reachability.REACHABLE -> {
                refusals = 0
                pauseMillis *= 2
                false
            }

            Reachability.REFUSED -> {
                isRefusedAgain()
            }

            Reachability.UNREACHABLE -> {
                true
            }
        }

    private fun isRefusedAgain(): Boolean {
        refusals++
        telemetry.event(
            "target_refused_connection",
            Field("target", target.id),
            Field("request", request.head.id),
            Field("refusals", refusals),
        )
        pauseMillis = if (refusals == 1) CONFIRM_MILLIS else pauseMillis * 2
        // Nobody could continue a request that may run only once.
        return request.route.kind.isIdempotent && refusals >= MAX_REFUSALS
    }

    private companion object {
        /** Refused connections in a row after which a silent target counts as failed. */
        const val MAX_REFUSALS = 2

        /** Milliseconds until a refused connection is tried again: a few passes of an engine, in which one of its connections may end. */
        const val CONFIRM_MILLIS = 250L

        /** Milliseconds to establish a connection: many round trips between zones. */
        const val CONNECT_MILLIS = 150L
    }
}
