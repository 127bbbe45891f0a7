// One log line for each decision about an attempt, and the counters beside them.
package yuccaferry.gateway.request

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime

/** Logs attempts to [telemetry]. */
internal class AttemptLog(
    private val telemetry: Telemetry,
) {
    /** A request is about to be sent. */
    fun sent(
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

    /** An attempt that began at [start] has ended. */
    fun ended(
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
