// What is known of one target when a request is placed.
package yuccaferry.decisions.dispatch

import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName

/**
 * Load of one target as this daemon believes it.
 *
 * @property active requests at the target, those of all daemons.
 * @property readingMillis predicted time until the prompts that are being read there are done.
 * @property heldTokens tokens of the prompts and answers at the target.
 * @property longRequests requests at the target whose prompt is long.
 * @property penaltyMillis what recent failures of the target add to a predicted time.
 * @property slots requests that the target works on at once.
 */
data class TargetLoad(
    val id: TargetId,
    val zone: ZoneName,
    val active: Int,
    val readingMillis: Double,
    val heldTokens: Long,
    val longRequests: Int,
    val penaltyMillis: Double,
    val slots: Int,
)
