// Limits that hold for the sum over all daemons, as the settings state them.
package yuccaferry.gateway

import kotlinx.serialization.Serializable

/**
 * Limits of the whole fleet.
 *
 * @property coldBurstFactor times a cold target's rate that any one second may see.
 * @property coldTolerance requests to a cold target in a second beyond that.
 * @property repeatRatio repeated sends to a service for each request for it.
 * @property repeatReserve repeated sends to a service that need no request, in each window.
 * @property repeatWindowSeconds length of the window for repeats.
 * @property graceSeconds time from the signal to stop until the process is killed.
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
