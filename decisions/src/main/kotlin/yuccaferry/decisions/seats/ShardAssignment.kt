/*
 * Which seat a target belongs to and which daemon should hold a seat: rendezvous hashing with a bound on the seats of
 * one daemon. Pairs of seat and daemon are taken in the order of their hash, so that the result doesn't depend on the
 * order of the arguments, and a change of one daemon moves few seats.
 */
package yuccaferry.decisions.seats

import com.dynatrace.hash4j.hashing.Hashing
import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName
import yuccaferry.model.SeatNumber
import yuccaferry.model.TargetId

private val hasher = Hashing.komihash5_0()

/** Rendezvous weight of [daemon] for [key]. */
internal fun weight(
    key: String,
    daemon: DaemonId,
): Long = hasher.hashCharsToLong("$key|${daemon.value}")

/** The seat of [target] among the [shards] of its own [region]. */
fun shardOfTarget(
    target: TargetId,
    region: RegionName,
    shards: Int,
): ShardId = ShardId(region, SeatNumber(Math.floorMod(hasher.hashCharsToLong(target.value), shards)))

/** Seats that a daemon may hold beyond an even share, in hundredths; a tight bound moves more seats at each change. */
private const val SLACK_PERCENT = 25

/** Most seats of one of [daemons] daemons when [shards] seats are spread. */
fun loadBound(
    shards: Int,
    daemons: Int,
): Int = ceilDivide(shards * (100 + SLACK_PERCENT), daemons * 100)

internal fun ceilDivide(
    dividend: Int,
    divisor: Int,
): Int = (dividend + divisor - 1) / divisor

/** The desired holder of each seat; empty when there are no [daemons]. */
fun assignShards(
    shards: List<ShardId>,
    daemons: Collection<DaemonId>,
): Map<ShardId, DaemonId> {
    if (daemons.isEmpty()) return emptyMap()
    val pairs = shards.flatMap { shard -> daemons.map { Candidate(shard, it, weight(shard.toString(), it)) } }
    val room = daemons.associateWithTo(HashMap()) { loadBound(shards.size, daemons.size) }
    val holders = HashMap<ShardId, DaemonId>()
    for (pair in pairs.sortedWith(byWeight)) {
        val left = room.getValue(pair.daemon)
        if (left == 0 || pair.shard in holders) continue
        holders[pair.shard] = pair.daemon
        room[pair.daemon] = left - 1
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
