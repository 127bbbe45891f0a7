package yuccaferry.app

import yuccaferry.daemon.control.ShardHolder
import yuccaferry.daemon.control.ShardTable
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.ShardId
import yuccaferry.decisions.shards.VoterSet
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.Target

/** The shard table of a daemon that has not joined the fleet: it decides over no target and is not confirmed. */
internal class EmptyShardTable(
    override val self: DaemonId,
) : ShardTable {
    override val members: List<DaemonRecord> = emptyList()

    override fun shardOf(target: Target): ShardId? = null

    override fun holderOf(target: Target): ShardHolder? = null

    override fun holderOf(shard: ShardId): ShardHolder? = null

    override fun mayDecide(target: Target): Epoch? = null

    override fun mayDecide(shard: ShardId): Epoch? = null

    override fun heldShards(): List<ShardId> = emptyList()

    override fun learn(view: ShardHolder) = Unit

    override fun isCurrent(
        shard: ShardId,
        epoch: Epoch,
    ): Boolean = false

    override val confirmed = false
    override val requiredConfigurationVersion: ConfigurationVersion = ConfigurationVersion.NONE
    override val extendedAsOf: MonotonicTime? = null

    override fun voterSet(region: RegionName): VoterSet = VoterSet()
}
