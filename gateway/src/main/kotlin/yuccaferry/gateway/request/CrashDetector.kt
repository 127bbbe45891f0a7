// Finds out whether a target crashed while a request was about to begin its answer there.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.Reachability
import yuccaferry.gateway.view.Target

/** Tells crashes of targets from connections that broke. */
internal class CrashDetector(
    private val connector: HttpClientConnector,
    private val telemetry: Telemetry,
) {
    /** Returns whether [target] crashed, given the [end] of an attempt of [request] there; suspends for one connection attempt at most. */
    suspend fun hasCrashed(
        request: AdmittedRequest,
        target: Target,
        end: AttemptEnd,
    ): Boolean {
        if (end !is AttemptEnd.Broken) return false
        if (connector.probe(target.address, CONNECT_MILLIS) == Reachability.REACHABLE) return false
        telemetry.event(
            "target_crashed",
            Field("target", target.id),
            Field("run", target.incarnation),
            Field("request", request.head.id),
            Field(
                "parts",
                request.head.sharedParts
                    .joinToString(",", limit = MAX_LOGGED_PARTS)
                    .ifEmpty { null },
            ),
        )
        return true
    }

    private companion object {
        /** Parts of a prompt in a log line. */
        const val MAX_LOGGED_PARTS = 64

        /** Milliseconds to establish a connection: many round trips between zones. */
        const val CONNECT_MILLIS = 150L
    }
}
