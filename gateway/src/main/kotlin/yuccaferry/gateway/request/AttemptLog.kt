// Writes one log line for the start and one for the end of each attempt, and updates the metrics of attempts.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime

/** Reports attempts to [telemetry]. */
internal class AttemptLog(
    private val telemetry: Telemetry,
) {
    /** Reports that a request is about to be sent. */
    fun logStart(
        request: AdmittedRequest,
        target: Target,
        attempt: Int,
        vararg inputs: Field,
    ) {
        telemetry.event(
            "attempt_sent",
            Field("request", request.head.id),
            Field("attempt", attempt),
            Field("target", target.id),
            Field("route", request.route.name),
            Field("configuration", request.version),
            *inputs,
        )
        telemetry.count("yuccaferry_attempts_total", 1.0, Field("repeat", attempt > 1))
    }

    /** Reports the end of an attempt that began at [start]. */
    fun logEnd(
        request: AdmittedRequest,
        target: Target,
        end: AttemptEnd,
        start: MonotonicTime,
        now: MonotonicTime,
        vararg details: Field,
    ) {
        telemetry.event(
            "attempt_ended",
            Field("request", request.head.id),
            Field("target", target.id),
            Field("end", end),
            Field("ms", now - start),
            *details,
        )
        telemetry.time("yuccaferry_attempt_duration", now - start, Field("end", end.javaClass.simpleName))
    }
}
