/*
 * Control records in the key-value service: one per daemon, one per shard, and one voter set per region. A shard is a
 * fixed part of a region's targets; only its holder decides over them.
 */
package yuccaferry.decisions.shards

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import yuccaferry.model.Address
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.ShardNumber
import yuccaferry.model.ZoneName

/** Identifies the time during which a daemon keeps one lease; after the lease has expired, a new session begins. */
@Serializable
@JvmInline
value class Session(
    val value: Long,
) {
    override fun toString() = value.toString()
}

/** One daemon during one session; lease extensions and promises refer to it. */
@Serializable
data class LeaseHolder(
    val daemon: DaemonId,
    val session: Session,
)

/** One shard of one region. */
@Serializable
data class ShardId(
    val region: RegionName,
    val number: ShardNumber,
) {
    override fun toString() = "$region/$number"
}

/** Whether a daemon may hold shards. */
@Serializable
enum class DaemonState {
    @SerialName("serving")
    SERVING,

    @SerialName("leaving")
    LEAVING,
}

/** One daemon of the fleet; the record exists as long as the daemon's lease. */
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
 * Holder of a shard. The record is not bound to a lease, so that the epoch never decreases.
 *
 * @property peer the holder's peer address.
 */
@Serializable
data class ShardRecord(
    val holder: LeaseHolder,
    val peer: Address,
    val epoch: Epoch,
)

/** One member of a voter set. */
@Serializable
data class Voter(
    val id: DaemonId,
    val peer: Address,
)

/**
 * The daemons of a region whose lease extensions count; without members no lease can be extended.
 *
 * @property version grows by one at each change; zero when the set was never written.
 */
@Serializable
data class VoterSet(
    val version: Long = 0,
    val members: List<Voter> = emptyList(),
) {
    /** Number of members that make a majority; zero when there are no members. */
    val majority: Int get() = if (members.isEmpty()) 0 else members.size / 2 + 1

    operator fun contains(id: DaemonId) = members.any { it.id == id }
}
