// Grant as it is handed over from one decider to the next. Times are durations, because daemons' clocks can't be compared.
package yuccaferry.decisions.grants

import kotlinx.serialization.Serializable
import yuccaferry.model.DaemonId
import yuccaferry.model.RequestId

/**
 * Grant in force.
 *
 * @property ageMillis time since it was granted.
 * @property timeLeftMillis time until it expires.
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
