// Derives a target's health from the ends of attempts.
package yuccaferry.gateway.request

import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.view.Target
import yuccaferry.model.MonotonicTime

/** Records the [end] of an attempt at [target] as a success or a failure. */
internal fun TargetHealth.record(
    target: Target,
    end: AttemptEnd,
    now: MonotonicTime,
) {
    val penalty =
        when (end) {
            AttemptEnd.Withheld, is AttemptEnd.AskedForPause -> return
            AttemptEnd.NotSent -> TargetHealth.UNREACHABLE_MILLIS
            is AttemptEnd.Broken, AttemptEnd.TimedOut -> TargetHealth.BROKEN_MILLIS
            is AttemptEnd.Rejected -> TargetHealth.REJECTED_MILLIS
            is AttemptEnd.Answered -> if (end.status >= SERVER_ERROR_STATUS) TargetHealth.FAILED_MILLIS else 0.0
        }
    if (penalty > 0) recordFailure(target.id, target.incarnation, penalty, now) else recordSuccess(target.id, target.incarnation, now)
}

private const val SERVER_ERROR_STATUS = 500
