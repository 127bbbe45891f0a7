// Load of one target, the input of placement.
package yuccaferry.decisions.dispatch

import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName

/**
 * Estimated load of one target, as known to this daemon.
 *
 * @property active requests of all daemons at the target.
 * @property remainingPrefillMillis predicted time until the prefills in progress at the target end.
 * @property heldTokens tokens of the prompts and answers at the target.
 * @property longRequests requests at the target whose prompt is long.
 * @property penaltyMillis time that recent failures of the target add to a predicted time.
 * @property slots requests that the target processes concurrently.
 */
data class TargetLoad(
    val id: TargetId,
    val zone: ZoneName,
    val active: Int,
    val remainingPrefillMillis: Double,
    val heldTokens: Long,
    val longRequests: Int,
    val penaltyMillis: Double,
    val slots: Int,
)
