// Decides whether a request may be sent once more.
package yuccaferry.gateway.request

import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.mayTryAgain
import yuccaferry.decisions.limits.RepeatBudget
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.view.FleetView
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName

/** This daemon's share of the fleet's budget for repeats. */
internal class Repeats(
    private val fleet: FleetView,
    private val limits: () -> GatewayLimits,
) {
    private val budgets = HashMap<ServiceName, RepeatBudget>()

    /** Records the first send of [request]. */
    fun recordFirst(
        request: AdmittedRequest,
        now: MonotonicTime,
    ) = budgetOf(request).recordFirst(now)

    /** Takes one repeat of [request], of which [sent] sends ended with [last]; false when it must not be sent again. */
    fun take(
        request: AdmittedRequest,
        last: AttemptEnd,
        sent: Int,
        now: MonotonicTime,
    ): Boolean {
        if (sent >= request.route.maxAttempts || request.deadline - now < LEAST_MILLIS) return false
        if (!mayTryAgain(last, request.route.kind.isIdempotent)) return false
        return budgetOf(request).take(now, limits().repeatReserve / fleet.daemons)
    }

    private fun budgetOf(request: AdmittedRequest): RepeatBudget =
        budgets.getOrPut(request.service.name) {
            RepeatBudget(limits().repeatRatio, (limits().repeatWindowSeconds * MILLIS_PER_SECOND).toLong())
        }

    private companion object {
        /** Least remaining ms for which another attempt is worth its work: a round trip between zones and a short answer. */
        const val LEAST_MILLIS = 40L
        const val MILLIS_PER_SECOND = 1_000
    }
}
