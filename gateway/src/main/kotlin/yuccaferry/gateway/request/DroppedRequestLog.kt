// Logs callers' requests that end without the complete answer of their handler.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.gateway.net.ConnectionObserver
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.port.RequestFormat

/** Writes one line for each such request, with its id if it is known. */
internal class DroppedRequestLog(
    private val format: RequestFormat,
    private val telemetry: Telemetry,
) : ConnectionObserver {
    override fun onRequestDropped(
        request: IncomingRequest?,
        stage: ConnectionObserver.Stage,
        reason: String,
    ) {
        val id = request?.let { format.readRequest(it).id }
        val stageName = stage.name.lowercase()
        telemetry.event(
            "request_dropped",
            Field("request", id),
            Field("stage", stageName),
            Field("reason", reason),
            severity = Severity.WARN,
        )
        telemetry.count("yuccaferry_requests_dropped_total", 1.0, Field("stage", stageName))
    }
}
