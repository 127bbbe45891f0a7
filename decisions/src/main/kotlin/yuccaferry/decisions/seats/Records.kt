/*
 * What the key-value service holds about who decides: one record per daemon, one per seat, and one
 * roster per region. A seat is a fixed share of a region's targets; its holder is their only decider.
 */
package yuccaferry.decisions.seats

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaferry.model.Address
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.SeatNumber
import yuccaferry.model.ZoneName

/** Identifies the time during which a daemon keeps one lease; a daemon whose lease lapsed has a new session. */
@Serializable
@JvmInline
value class Session(
    val value: Long,
) {
    override fun toString() = value.toString()
}

/** One daemon during one session: the unit to which attestations and promises refer. */
@Serializable
data class LeaseHolder(
    val daemon: DaemonId,
    val session: Session,
)

/** One seat of one region. */
@Serializable
data class ShardId(
    val region: RegionName,
    val number: SeatNumber,
) {
    override fun toString() = "$region/$number"
}

/** Whether a daemon may be given seats. */
@Serializable
enum class DaemonState {
    @SerialName("serving")
    SERVING,

    @SerialName("leaving")
    LEAVING,
}

/** One daemon of the fleet; exists while the daemon's lease does. */
@Serializable
data class DaemonRecord(
    val id: DaemonId,
    val session: Session,
    val name: String,
    val region: RegionName,
    val zone: ZoneName,
    val peer: Address,
    val admin: Address,
    val state: DaemonState = DaemonState.SERVING,
) {
    /** The daemon in its present session. */
    val holder: LeaseHolder get() = LeaseHolder(id, session)
}

/**
 * Who holds a seat. Not bound to a lease, so that the epoch never shrinks.
 *
 * @property peer the holder's peer address.
 */
@Serializable
data class ShardRecord(
    val holder: LeaseHolder,
    val peer: Address,
    val epoch: Epoch,
)

/** One daemon whose attestations count. */
@Serializable
data class Voter(
    val id: DaemonId,
    val peer: Address,
)

/**
 * The daemons of a region whose attestations count; without members there is no continuation past a lease.
 *
 * @property version grows by one at each change; zero is the roster that was never written.
 */
@Serializable
data class VoterSet(
    val version: Long = 0,
    val members: List<Voter> = emptyList(),
) {
    /** Members that make a majority; zero when there are no members. */
    val majority: Int get() = if (members.isEmpty()) 0 else members.size / 2 + 1

    operator fun contains(id: DaemonId) = members.any { it.id == id }
}
