// The shard table as published after each step of the state machine: immutable parts, read without a lock.
package yuccaferry.daemon.control

import yuccaferry.daemon.port.Clock
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.ShardId
import yuccaferry.decisions.shards.ShardSettings
import yuccaferry.decisions.shards.ShardSnapshot
import yuccaferry.decisions.shards.ShardStateMachine
import yuccaferry.decisions.shards.VoterSet
import yuccaferry.decisions.shards.shardOfTarget
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.Target
import java.util.concurrent.ConcurrentHashMap

/** A copy of the state machine's state as of the last [publish]; validity is evaluated at the time of each call. */
internal class PublishedShardTable(
    override val self: DaemonId,
    private val settings: ShardSettings,
    private val clock: Clock,
    private val configuration: ConfigurationView,
) : ShardTable {
    @Volatile
    private var snapshot = ShardSnapshot(validity = null, acting = emptyMap())

    @Volatile
    private var voterSets: Map<RegionName, VoterSet> = emptyMap()
    private var membersVersion = -1L
    private var shardsVersion = -1L
    private val holders = ConcurrentHashMap<ShardId, ShardHolder>()

    @Volatile
    override var members: List<DaemonRecord> = emptyList()
        private set

    @Volatile
    override var requiredConfigurationVersion = ConfigurationVersion.NONE
        private set

    @Volatile
    override var extendedAsOf: MonotonicTime? = null
        private set

    override val confirmed: Boolean
        get() = snapshot.current(clock.now()) && configuration.version >= requiredConfigurationVersion

    /** Copies the state of [stateMachine]; callers must not call it concurrently. */
    fun publish(stateMachine: ShardStateMachine) {
        snapshot = stateMachine.snapshot()
        requiredConfigurationVersion = stateMachine.requiredConfigurationVersion
        extendedAsOf = stateMachine.extendedAsOf
        val control = stateMachine.control
        if (membersVersion != control.membershipVersion) {
            membersVersion = control.membershipVersion
            members = control.daemons
        }
        if (shardsVersion != control.shardsVersion) {
            shardsVersion = control.shardsVersion
            voterSets = control.voterSets
            control.shards.forEach { learn(ShardHolder(it.shard, it.record.holder.daemon, it.record.peer, it.record.epoch)) }
        }
    }

    override fun voterSet(region: RegionName): VoterSet = voterSets[region] ?: VoterSet()

    override fun shardOf(target: Target): ShardId? =
        configuration.regionOf(target.zone)?.let { shardOfTarget(target.id, it, settings.shardsPerRegion) }

    override fun holderOf(target: Target): ShardHolder? = shardOf(target)?.let(::holderOf)

    override fun holderOf(shard: ShardId): ShardHolder? = holders[shard]

    override fun mayDecide(target: Target): Epoch? = shardOf(target)?.let(::mayDecide)

    override fun mayDecide(shard: ShardId): Epoch? = snapshot.mayDecide(shard, clock.now())

    override fun heldShards(): List<ShardId> {
        val now = clock.now()
        val current = snapshot
        return current.acting.keys.filter { current.mayDecide(it, now) != null }
    }

    override fun learn(view: ShardHolder) {
        holders.merge(view.shard, view) { known, new -> if (new.epoch > known.epoch) new else known }
    }

    override fun isCurrent(
        shard: ShardId,
        epoch: Epoch,
    ): Boolean = holders[shard].let { it == null || epoch >= it.epoch }
}
