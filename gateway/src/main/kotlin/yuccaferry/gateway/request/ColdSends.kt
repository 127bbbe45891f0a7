// Keeps the requests to cold targets within this daemon's share of their rate limit.
package yuccaferry.gateway.request

import yuccaferry.decisions.limits.ColdLimit
import yuccaferry.decisions.limits.ColdShares
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.view.FleetView
import yuccaferry.gateway.view.Member
import yuccaferry.gateway.view.Target
import yuccaferry.model.DaemonName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName

/** Counts the requests that the daemon [own] sends to cold targets. */
internal class ColdSends(
    private val fleet: FleetView,
    own: DaemonName,
    private val limits: () -> GatewayLimits,
) {
    private val shares = ColdShares(own)
    private val sends = HashMap<TargetId, ColdLimit>()
    private var members: List<Member> = emptyList()
    private var membersByZone: Map<ZoneName?, List<DaemonName>> = emptyMap()

    /** Returns whether a request of [service] may be sent to [target] at [now]. */
    fun isAllowed(
        target: Target,
        service: ServiceDefinition,
        now: MonotonicTime,
    ): Boolean {
        if (service.coldRequestsPerSecond <= 0 || target.coldUntil <= now) return true
        val current = limits()
        val fleetPerSecond = service.coldRequestsPerSecond * current.coldBurstFactor + current.coldTolerance
        val share = shares.perSecond(target.id, fleetPerSecond, fleet.daemons, candidatesFor(target))
        return sends[target.id]?.allows(now, share) ?: (share >= 1)
    }

    /** Counts a request sent to [target] at [now]; drops the count once the target is warm. */
    fun record(
        target: Target,
        now: MonotonicTime,
    ) {
        if (target.coldUntil > now) sends.getOrPut(target.id) { ColdLimit() }.record(now) else forget(target.id)
    }

    private fun forget(target: TargetId) {
        sends -= target
        shares.forget(target)
    }

    /** The daemons of the target's zone, which choose among its targets first. */
    private fun candidatesFor(target: Target): List<DaemonName> {
        if (fleet.members !== members) {
            members = fleet.members
            membersByZone = members.groupBy({ it.zone }, { it.name })
        }
        return membersByZone[target.zone].orEmpty()
    }
}
