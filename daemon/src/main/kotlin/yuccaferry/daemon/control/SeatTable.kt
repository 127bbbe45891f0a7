// What the rest of the daemon sees of seats: who decides over a target, and whether this daemon may.
package yuccaferry.daemon.control

import yuccaferry.decisions.seats.DaemonRecord
import yuccaferry.decisions.seats.ShardId
import yuccaferry.decisions.seats.VoterSet
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.Target
import yuccaferry.model.ZoneName

/** Who holds a seat, as far as this daemon knows. */
data class SeatView(
    val shard: ShardId,
    val holder: DaemonId,
    val peer: Address,
    val epoch: Epoch,
)

/** Seats and membership as this daemon knows them; safe to call from any thread, without I/O. */
interface SeatTable {
    /** This daemon. */
    val self: DaemonId

    /** Every daemon of the fleet with a lease, this one included once it has joined. */
    val members: List<DaemonRecord>

    /** The roster of [region]: the daemons whose majority attests there; without members when there is none. */
    fun voterSet(region: RegionName): VoterSet

    /** The seat of [target]; null when its zone belongs to no region of the configuration. */
    fun seatOf(target: Target): ShardId?

    /** The holder of the seat of [target]; null when none is known. */
    fun holderOf(target: Target): SeatView?

    /** The holder of [shard]; null when none is known. */
    fun holderOf(shard: ShardId): SeatView?

    /** The epoch under which this daemon may decide over [target] at this moment; null when it may not. */
    fun mayDecide(target: Target): Epoch?

    /** The epoch under which this daemon may decide for [shard] at this moment; null when it may not. */
    fun mayDecide(shard: ShardId): Epoch?

    /** Seats for which this daemon may decide at this moment. */
    fun heldSeats(): List<ShardId>

    /** Notes an epoch of [view] learnt from a peer; older ones are ignored. */
    fun learn(view: SeatView)

    /** Whether [epoch] is at least as new as the newest known of [shard]. */
    fun isCurrent(
        shard: ShardId,
        epoch: Epoch,
    ): Boolean

    /**
     * Whether this daemon may start new work: its lease is valid or a majority of its region's roster attested lately,
     * and its configuration is at least [requiredConfigurationVersion].
     */
    val confirmed: Boolean

    /** Newest configuration version that any attester or peer stated. */
    val requiredConfigurationVersion: ConfigurationVersion

    /**
     * When the newest round of attestations by a majority of the region's roster was asked for; their configuration
     * versions are included in [requiredConfigurationVersion]. Null before the first; asked for only while the
     * key-value service doesn't answer.
     */
    val extendedAsOf: MonotonicTime?
}

/** The grants of a seat, kept by the grants part; the control of seats moves them as opaque bytes. */
interface SeatState {
    /** Returns the grants of [shard] for its next holder; called after this daemon has stopped deciding for it. */
    suspend fun export(shard: ShardId): ByteArray

    /** Takes over [grants] from the previous holder; called before this daemon decides for [shard]. */
    suspend fun import(
        shard: ShardId,
        epoch: Epoch,
        grants: ByteArray,
    )

    /**
     * Collects the outstanding grants of [shard], whose previous holder is gone; called after the grant window has
     * passed and before this daemon decides for it. Throws nothing; returns when the table is safe to use.
     */
    suspend fun recover(
        shard: ShardId,
        epoch: Epoch,
    )

    /** This daemon doesn't hold [shard] any more: its queue must be refused and its grants forgotten. */
    fun lost(shard: ShardId)
}

/** The configuration part as the control of seats sees it. */
interface ConfigurationView {
    /** Version in force on this daemon. */
    val version: ConfigurationVersion

    /** The region of [zone] in the configuration in force; null when unknown. */
    fun regionOf(zone: ZoneName): RegionName?

    /** A peer at [peer] states that it has [version], which is newer than the one in force here. */
    fun newerVersionAt(
        peer: Address,
        version: ConfigurationVersion,
    )
}
