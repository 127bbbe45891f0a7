// State of one target as known to a daemon that places requests; it may be out of date.
package yuccaferry.decisions.placement

import yuccaferry.model.EngineLimits
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName

/**
 * Known state of one target.
 *
 * @property limits limits of the target; for plain services only the request counts apply.
 * @property outstandingRequests requests placed on the target that have not ended.
 * @property outstandingPrefillTokens prompt tokens of those requests still to be computed.
 * @property heldTokens KV tokens reserved by those requests.
 * @property longPrefills long prompts whose prefill has not ended.
 * @property lastReport time of the target's last load report; null before the first one.
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
    /** Most concurrent requests of the target in its current state, warm or cold. */
    val requestLimit: Int
        get() = if (warm) limits.warmRequests else limits.coldRequests

    /** Returns whether the target has free capacity for [demand] in addition to its outstanding requests. */
    fun hasRoomFor(demand: Demand): Boolean =
        outstandingRequests < requestLimit &&
            (kind == TargetKind.SERVICE || limits.kvTokens - heldTokens >= demand.heldTokens) &&
            (demand.lengthClass != LengthClass.LONG || longPrefills < limits.longPrefills)
}
