/*
 * Assignment of targets to shards and of shards to daemons: rendezvous hashing with a bound on the shards of one daemon.
 * Pairs of shard and daemon are considered in the order of their hash, so that the result doesn't depend on the order of
 * the arguments, and a change of one daemon moves few shards.
 */
package yuccaferry.decisions.shards

import com.dynatrace.hash4j.hashing.Hashing
import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName
import yuccaferry.model.ShardNumber
import yuccaferry.model.TargetId

private val hasher = Hashing.komihash5_0()

/** Rendezvous weight of [daemon] for [key]. */
internal fun weight(
    key: String,
    daemon: DaemonId,
): Long = hasher.hashCharsToLong("$key|${daemon.value}")

/** The shard of [target] among the [shards] of its own [region]. */
fun shardOfTarget(
    target: TargetId,
    region: RegionName,
    shards: Int,
): ShardId = ShardId(region, ShardNumber(Math.floorMod(hasher.hashCharsToLong(target.value), shards)))

/** Shards that a daemon may hold beyond an even share, in percent; a tighter bound moves more shards at each change. */
private const val SLACK_PERCENT = 25

/** Largest number of [items] on one of [nodes] nodes. */
fun loadBound(
    items: Int,
    nodes: Int,
): Int = ceilDivide(items * (100 + SLACK_PERCENT), nodes * 100)

internal fun ceilDivide(
    dividend: Int,
    divisor: Int,
): Int = (dividend + divisor - 1) / divisor

/** Returns the desired holder of each shard; empty when there are no [daemons]. */
fun assignShards(
    shards: List<ShardId>,
    daemons: Collection<DaemonId>,
): Map<ShardId, DaemonId> {
    if (daemons.isEmpty()) return emptyMap()
    val pairs = shards.flatMap { shard -> daemons.map { Candidate(shard, it, weight(shard.toString(), it)) } }
    val capacity = daemons.associateWithTo(HashMap()) { loadBound(shards.size, daemons.size) }
    val holders = HashMap<ShardId, DaemonId>()
    for (pair in pairs.sortedWith(byWeight)) {
        val left = capacity.getValue(pair.daemon)
        if (left == 0 || pair.shard in holders) continue
        holders[pair.shard] = pair.daemon
        capacity[pair.daemon] = left - 1
    }
    return holders
}

private class Candidate(
    val shard: ShardId,
    val daemon: DaemonId,
    val weight: Long,
)

private val byWeight =
    compareByDescending<Candidate> { it.weight }
        .thenBy { it.shard.number.value }
        .thenBy { it.daemon.value }
