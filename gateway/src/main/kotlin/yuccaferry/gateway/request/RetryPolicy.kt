// Decides whether a request may be retried.
package yuccaferry.gateway.request

import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.forward.mayRetry
import yuccaferry.decisions.limits.RepeatBudget
import yuccaferry.decisions.routing.isIdempotent
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.view.FleetView
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName

/** Limits retries to this daemon's share of the fleet's retry budget for each service. */
internal class RetryPolicy(
    private val fleet: FleetView,
    private val limits: () -> GatewayLimits,
) {
    private val budgets = HashMap<ServiceName, RepeatBudget>()

    /** Records the first attempt of [request]. */
    fun recordFirst(
        request: AdmittedRequest,
        now: MonotonicTime,
    ) = budgetOf(request).recordFirst(now)

    /**
     * Takes one retry of [request] from the budget. [sent] is the number of attempts so far in which something was sent, [last] the
     * end of the last one. Returns false, and takes nothing, if the request must not be sent again.
     */
    fun takeRetry(
        request: AdmittedRequest,
        last: AttemptEnd,
        sent: Int,
        now: MonotonicTime,
    ): Boolean {
        if (sent >= request.route.maxAttempts || request.deadline - now < MIN_REMAINING_MILLIS) return false
        if (!mayRetry(last, request.route.kind.isIdempotent)) return false
        return budgetOf(request).take(now, limits().repeatReserve / fleet.daemons)
    }

    private fun budgetOf(request: AdmittedRequest): RepeatBudget =
        budgets.getOrPut(request.service.name) {
            RepeatBudget(limits().repeatRatio, (limits().repeatWindowSeconds * MILLIS_PER_SECOND).toLong())
        }

    private companion object {
        /** Minimum remaining ms for which another attempt is worthwhile: a round trip between zones and a short answer. */
        const val MIN_REMAINING_MILLIS = 40L
        const val MILLIS_PER_SECOND = 1_000
    }
}
