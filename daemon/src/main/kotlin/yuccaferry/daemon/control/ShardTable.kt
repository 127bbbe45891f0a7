// The interfaces between the control of shards and the rest of the daemon.
package yuccaferry.daemon.control

import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.ShardId
import yuccaferry.decisions.shards.VoterSet
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.Target
import yuccaferry.model.ZoneName

/** The holder of a shard as last known to this daemon; another daemon may have replaced it since. */
data class ShardHolder(
    val shard: ShardId,
    val holder: DaemonId,
    val peer: Address,
    val epoch: Epoch,
)

/** Shards and membership as last known to this daemon. Safe for concurrent use; does no I/O. */
interface ShardTable {
    /** This daemon. */
    val self: DaemonId

    /** All daemons of the fleet that have a lease, including this one once it has joined. */
    val members: List<DaemonRecord>

    /** The voter set of [region], a majority of which extends leases there; without members when there is none. */
    fun voterSet(region: RegionName): VoterSet

    /** The shard of [target]; null when its zone belongs to no region of the configuration. */
    fun shardOf(target: Target): ShardId?

    /** The holder of the shard of [target]; null when none is known. */
    fun holderOf(target: Target): ShardHolder?

    /** The holder of [shard]; null when none is known. */
    fun holderOf(shard: ShardId): ShardHolder?

    /** The epoch under which this daemon may decide over [target] at this moment; null when it may not. */
    fun mayDecide(target: Target): Epoch?

    /** The epoch under which this daemon may decide for [shard] at this moment; null when it may not. */
    fun mayDecide(shard: ShardId): Epoch?

    /** Shards for which this daemon may decide at this moment. */
    fun heldShards(): List<ShardId>

    /** Records the holder and epoch that a peer reported; ignores [view] unless its epoch is newer than the known one. */
    fun learn(view: ShardHolder)

    /** Whether [epoch] is at least the newest known epoch of [shard]. */
    fun isCurrent(
        shard: ShardId,
        epoch: Epoch,
    ): Boolean

    /**
     * Whether this daemon may start new work: its lease is valid or was lately extended by a majority of its region's
     * voters, and its configuration is at least [requiredConfigurationVersion].
     */
    val confirmed: Boolean

    /** Newest configuration version that any voter or peer has reported. */
    val requiredConfigurationVersion: ConfigurationVersion

    /**
     * When the newest lease extension granted by a majority of the region's voters was requested. The voters'
     * configuration versions are included in [requiredConfigurationVersion]. Null before the first; extensions are
     * requested only while the key-value service doesn't answer.
     */
    val extendedAsOf: MonotonicTime?
}

/** The grants of shards, which the control of shards moves between daemons as opaque bytes. */
interface ShardGrants {
    /** Returns the grants of [shard] for its next holder. Called after this daemon has stopped deciding for it. */
    suspend fun export(shard: ShardId): ByteArray

    /** Imports [grants] from the previous holder. Called before this daemon decides for [shard]. */
    suspend fun import(
        shard: ShardId,
        epoch: Epoch,
        grants: ByteArray,
    )

    /**
     * Collects the outstanding grants of [shard], whose previous holder is gone. Called after the grant window has
     * passed and before this daemon decides for it. Throws nothing; returns once it is safe to decide.
     */
    suspend fun recover(
        shard: ShardId,
        epoch: Epoch,
    )

    /** Refuses the queued requests of [shard] and discards its grants; called when this daemon no longer holds it. */
    fun discard(shard: ShardId)
}

/** The configuration as far as the control of shards uses it. */
interface ConfigurationView {
    /** Version in force on this daemon. */
    val version: ConfigurationVersion

    /** The region of [zone] in the configuration in force; null when unknown. */
    fun regionOf(zone: ZoneName): RegionName?

    /** Reports that the daemon at [peer] has [version], which is newer than the one in force here. */
    fun newerVersionAt(
        peer: Address,
        version: ConfigurationVersion,
    )
}
