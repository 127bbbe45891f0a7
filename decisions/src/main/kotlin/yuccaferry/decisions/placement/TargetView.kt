// One target as a daemon that places work sees it, which may lag behind the truth.
package yuccaferry.decisions.placement

import yuccaferry.model.EngineLimits
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName

/**
 * What is known of one target.
 *
 * @property limits what the target bears; for plain services only the request counts matter.
 * @property outstandingRequests requests given to the target and not yet ended.
 * @property outstandingPrefillTokens prompt tokens of those requests that are still to be computed.
 * @property heldTokens KV tokens reserved by those requests.
 * @property longPrefills prompts of the long class whose prefill has not ended.
 * @property lastReport when the target last reported its load; null before the first report.
 */
data class TargetView(
    val id: TargetId,
    val zone: ZoneName,
    val kind: TargetKind,
    val serves: ServiceName,
    val limits: EngineLimits = EngineLimits(),
    val outstandingRequests: Int = 0,
    val outstandingPrefillTokens: Long = 0,
    val heldTokens: Long = 0,
    val longPrefills: Int = 0,
    val warm: Boolean = true,
    val lastReport: MonotonicTime? = null,
) {
    /** Requests that the target bears at once in its present state. */
    val requestLimit: Int
        get() = if (warm) limits.warmRequests else limits.coldRequests

    /** Whether [demand] fits beside the work that the target already has. */
    fun hasRoomFor(demand: Demand): Boolean =
        outstandingRequests < requestLimit &&
            (kind == TargetKind.SERVICE || limits.kvTokens - heldTokens >= demand.heldTokens) &&
            (demand.lengthClass != LengthClass.LONG || longPrefills < limits.longPrefills)
}
