// One grant on its way from one decider to the next. Times are durations, as clocks can't be compared.
package yuccaferry.decisions.grants

import kotlinx.serialization.Serializable
import yuccaferry.model.DaemonId
import yuccaferry.model.RequestId

/**
 * One grant in force.
 *
 * @property ageMillis time since it was given.
 * @property timeLeftMillis time until it ends by itself.
 */
@Serializable
data class TransferredGrant(
    val request: RequestId,
    val owner: DaemonId,
    val holdTokens: Long,
    val prefillTokens: Long,
    val long: Boolean,
    val ageMillis: Long,
    val timeLeftMillis: Long,
)
