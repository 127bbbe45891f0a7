// Records what targets say about new work in their answers.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.Availability
import yuccaferry.decisions.dispatch.TargetAvailability
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.TargetNotice
import yuccaferry.gateway.view.Target
import yuccaferry.model.DaemonName
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** What targets told the daemon [own] about new work; confined to the event loop. */
class TargetNotices(
    private val loop: EventLoop,
    own: DaemonName,
    private val telemetry: Telemetry,
) {
    private val availability = TargetAvailability(own)
    private val reportedInvalid = HashSet<TargetId>()

    /** Records the [notice] in an answer of [target] to [request], null if the answer belongs to no request. */
    fun record(
        target: Target,
        notice: TargetNotice,
        request: RequestId?,
    ) {
        notice.invalidHeader?.let { reportInvalid(target, it, request) }
        val now = loop.now()
        if (notice.isLeaving && availability.recordLeaving(target.id, target.incarnation, now)) {
            telemetry.event("target_leaving", Field("target", target.id), Field("run", target.incarnation), Field("request", request))
            telemetry.count("yuccaferry_targets_leaving_total")
        }
        val millis = notice.pauseMillis ?: return
        if (!availability.recordPause(target.id, target.incarnation, millis, now)) return
        telemetry.event("target_paused", Field("target", target.id), Field("pause_ms", millis), Field("request", request))
        telemetry.count("yuccaferry_target_pauses_total")
    }

    /** Whether no target has said anything. */
    internal val isEmpty: Boolean get() = availability.isEmpty

    /** Returns whether [target] may get new work now. */
    internal fun of(target: Target): Availability = availability.of(target.id, target.incarnation, loop.now())

    private fun reportInvalid(
        target: Target,
        header: String,
        request: RequestId?,
    ) {
        telemetry.count("yuccaferry_target_notices_invalid_total")
        if (reportedInvalid.size >= MAX_REPORTED) reportedInvalid.clear()
        if (!reportedInvalid.add(target.id)) return
        val fields = arrayOf(Field("target", target.id), Field("header", header), Field("request", request))
        telemetry.event("target_notice_invalid", *fields, severity = Severity.WARN)
    }

    private companion object {
        /** Targets whose malformed headers are remembered as logged. */
        const val MAX_REPORTED = 1_024
    }
}
