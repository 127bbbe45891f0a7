// A target as the platform lists it.
package yuccaferry.gateway.view

import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress

/**
 * One run of a target.
 *
 * @property slots number of requests that it processes concurrently.
 * @property isLeaving whether it accepts no new work.
 * @property coldUntil time at which it has warmed up.
 */
class Target(
    val id: TargetId,
    val incarnation: Incarnation,
    val service: ServiceName,
    val address: InetSocketAddress,
    val zone: ZoneName,
    val slots: Int,
    val isLeaving: Boolean,
    val coldUntil: MonotonicTime,
) {
    /** Whether requests may be sent to [other] instead of this target without any difference. */
    internal fun isSameAs(other: Target) =
        incarnation == other.incarnation &&
            service == other.service &&
            address == other.address &&
            zone == other.zone &&
            slots == other.slots &&
            isLeaving == other.isLeaving &&
            coldUntil == other.coldUntil

    /** Returns this target, leaving. */
    internal fun leaving() = Target(id, incarnation, service, address, zone, slots, isLeaving = true, coldUntil)

    /** `host:port` of [address]. */
    val hostPort: String get() = "${address.address.hostAddress}:${address.port}"

    companion object {
        /** [coldUntil] of a target that is not cold. */
        val NOT_COLD = MonotonicTime(Long.MIN_VALUE)
    }
}
