// Checks a simulated fleet: at most one decider per shard, epochs that never decrease, and the grant window between holders
// without a hand-over.
package yuccaferry.decisions.shards

import yuccaferry.model.Epoch

internal class DecisionChecker(
    private val settings: ShardSettings,
) {
    private class Last(
        val daemon: SimulatedDaemon,
        val epoch: Epoch,
        val at: Long,
    )

    private val last = HashMap<ShardId, Last>()
    private val imported = HashSet<Pair<ShardId, Epoch>>()
    private val shards = shardIds(settings)

    /** Longest time for which a shard had no decider, since it was last set to zero. */
    var longestGapMillis = 0L

    fun recordImport(
        shard: ShardId,
        epoch: Epoch,
    ) {
        imported += shard to epoch
    }

    fun epoch(
        daemon: SimulatedDaemon,
        shard: ShardId,
        at: Long,
    ): Epoch? = if (daemon.alive) daemon.node.snapshot().mayDecide(shard, daemon.clock(at)) else null

    fun check(
        now: Long,
        daemons: List<SimulatedDaemon>,
    ) = shards.forEach { shard ->
        val deciders = daemons.filter { epoch(it, shard, now) != null }
        check(deciders.size <= 1) { "two deciders of $shard at $now: ${deciders.map { "${it.record.id} ${epoch(it, shard, now)}" }}" }
        deciders.singleOrNull()?.let { recordDecision(shard, it, epoch(it, shard, now)!!, now) }
    }

    private fun recordDecision(
        shard: ShardId,
        daemon: SimulatedDaemon,
        epoch: Epoch,
        now: Long,
    ) {
        val before = last[shard]
        if (before != null) {
            check(epoch >= before.epoch) { "epoch of $shard decreased from ${before.epoch} to $epoch at $now" }
            val keepsGrants = before.daemon === daemon || (shard to epoch) in imported
            val gap = now - before.at
            longestGapMillis = maxOf(longestGapMillis, gap)
            check(keepsGrants || gap >= settings.grantWindowMillis * 0.99) {
                "${daemon.record.id} decides for $shard $gap ms after ${before.daemon.record.id}, whose grants are still usable"
            }
        }
        last[shard] = Last(daemon, epoch, now)
    }
}
