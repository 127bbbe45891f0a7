// Limits from the settings of gateway daemons.
package yuccaferry.gateway

import kotlinx.serialization.Serializable

/**
 * Limits that hold for the sum over all daemons, except [graceSeconds], which holds for each of them.
 *
 * @property coldBurstFactor multiple of a cold target's request rate that is allowed in any one second.
 * @property coldTolerance requests per second to a cold target that are allowed in addition.
 * @property repeatRatio retries to a service that are allowed per request for it.
 * @property repeatReserve retries to a service that are allowed in each window in addition, whatever the number of requests.
 * @property repeatWindowSeconds length of the window in which retries are counted.
 * @property graceSeconds time from the termination signal until the process is killed.
 */
@Serializable
data class GatewayLimits(
    val coldBurstFactor: Double,
    val coldTolerance: Double,
    val repeatRatio: Double,
    val repeatReserve: Double,
    val repeatWindowSeconds: Double,
    val graceSeconds: Double,
)
