/*
 * Which seats this daemon takes and gives away: compares the desired spread with the seats' records, claims those of
 * holders whose lease is gone, and hands over those that another daemon should hold.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.SeatNumber

/** Seats of one daemon. */
internal class ShardReconciler(
    private val template: DaemonRecord,
    private val settings: ShardSettings,
    private val view: ControlView,
    private val lease: LeaseManager,
) {
    private val shards = (0 until settings.shardsPerRegion).map { ShardId(template.region, SeatNumber(it)) }
    private val holdings = HeldShards(settings)
    private val claims = TakeoverTracker(template.region, settings)
    private val releasedRevision = HashMap<ShardId, Long>()
    private val giveAgainAt = HashMap<ShardId, MonotonicTime>()
    private var desired: Map<ShardId, DaemonId> = emptyMap()
    private var desiredVersion = -1L

    /** Grows when the seats held change. */
    val version: Long get() = holdings.version

    /** Whether this daemon holds and takes no seat. */
    val empty: Boolean get() = holdings.shards.isEmpty()

    fun acting(): Map<ShardId, ShardRecord> = holdings.acting().associate { it.shard to it.record }

    fun ready(event: ShardEvent.GrantsReady) = holdings.ready(event)

    fun promised(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ) = claims.promised(event, now)

    fun voterSetRead(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ) = claims.voterSetRead(event, view, now)

    /** Takes, gives and claims what is due. */
    fun tick(now: MonotonicTime): List<ShardEffect> {
        val effects = ArrayList<ShardEffect>()
        effects += dropLost()
        effects += holdings.tick(now)
        val holder = lease.holder
        if (holder == null || !lease.valid(now)) return effects
        if (desiredVersion != view.membershipVersion) updateDesired()
        effects += claims.tick(deadHolders(), view, now)
        shards.forEach { effects += settle(it, holder, now) }
        return effects
    }

    /** Answers a seat that a peer gives to this daemon. */
    fun offered(
        event: ShardEvent.HandOverReceived,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val request = event.request
        val holder = lease.holder
        val fit = holder != null && lease.valid(now) && lease.state == DaemonState.SERVING && request.shard in shards
        if (!fit || holdings[request.shard] != null) {
            return listOf(ShardEffect.AnswerHandOver(event.token, HandOverAnswer.NOT_TAKEN))
        }
        val record = ShardRecord(holder, template.peer, Epoch(request.epoch.value + 1))
        return holdings.take(StoreCall.WriteShard(request.shard, record, request.revision), AcquireReason.HandOver(event.token))
    }

    /** Notes the answer to a hand-over; unless it was taken, this daemon takes the seat back. */
    fun handedOver(
        event: ShardEvent.HandOverAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val call = event.call
        val holding = holdings[call.shard] as? ShardState.HandingOver ?: return emptyList()
        if (holding.entry.record.epoch != call.epoch) return emptyList()
        if (event.answer == HandOverAnswer.TAKEN) {
            releasedRevision[call.shard] = holding.entry.revision
            return holdings.drop(call.shard)
        }
        giveAgainAt[call.shard] = now + GIVE_AGAIN_MILLIS
        val holder = lease.holder ?: return emptyList()
        return holdings.take(write(holder, call.shard, holding.entry), AcquireReason.Reacquire)
    }

    /** Notes the answer to the write of a seat. */
    fun written(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val call = event.call as StoreCall.WriteShard
        when (val answer = event.answer) {
            is StoreAnswer.Written -> view.note(ControlEntry.OfShard(call.shard, call.record, answer.revision))
            is StoreAnswer.Conflict -> answer.current?.let(view::note)
            else -> Unit
        }
        return holdings.written(event, now)
    }

    private fun settle(
        shard: ShardId,
        holder: LeaseHolder,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val entry = view.shard(shard)
        val holding = holdings[shard]
        val wanted = desired[shard] == template.id && lease.state == DaemonState.SERVING
        return when {
            holding is ShardState.Active && holding.entry.record.holder != holder -> {
                holdings.take(write(holder, shard, holding.entry), AcquireReason.Reacquire)
            }

            holding is ShardState.Active && !wanted -> {
                give(holding.entry, holder, now)
            }

            holding != null || !wanted -> {
                emptyList()
            }

            entry == null -> {
                holdings.take(write(holder, shard, null), AcquireReason.NeverHeld)
            }

            claimable(entry, now) -> {
                holdings.take(write(holder, shard, entry), AcquireReason.Takeover)
            }

            else -> {
                emptyList()
            }
        }
    }

    private fun give(
        entry: ControlEntry.OfShard,
        holder: LeaseHolder,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val next = desired[entry.shard]?.takeIf { it != template.id }?.let(view::daemon) ?: return emptyList()
        if (giveAgainAt[entry.shard].let { it != null && now < it }) return emptyList()
        if (holdings.shards.count { holdings[it] is ShardState.HandingOver } >= HAND_OVERS_AT_ONCE) return emptyList()
        holdings.give(entry)
        return listOf(PeerCall.HandOver(next, entry.shard, entry.record.epoch, entry.revision, holder))
    }

    /** Whether the holder can't act any more. A record of this very daemon is one that it has lost track of. */
    private fun claimable(
        entry: ControlEntry.OfShard,
        now: MonotonicTime,
    ): Boolean {
        val holder = entry.record.holder
        if (holder.daemon == template.id) return entry.revision > (releasedRevision[entry.shard] ?: 0)
        return claims.fenced(holder, now)
    }

    /** Holders whose lease is gone and whose seats this daemon should hold. */
    private fun deadHolders(): Set<LeaseHolder> {
        if (lease.state != DaemonState.SERVING) return emptySet()
        val wanted = shards.filter { desired[it] == template.id && holdings[it] == null }.mapNotNull { view.shard(it) }
        val holders = wanted.map { it.record.holder }.filter { it.daemon != template.id }
        return holders.filterTo(HashSet()) { (view.absentMillis(it.daemon) ?: -1) >= settings.absenceGraceMillis }
    }

    /** Drops seats of which a newer record names another holder. */
    private fun dropLost(): List<ShardEffect> =
        holdings.shards.toList().flatMap { shard ->
            val entry =
                when (val holding = holdings[shard]) {
                    is ShardState.Active -> holding.entry
                    is ShardState.AwaitingGrantWindow -> holding.entry
                    is ShardState.AwaitingGrants -> holding.entry
                    is ShardState.HandingOver, is ShardState.Acquiring, null -> null
                }
            val newest = view.shard(shard)
            if (entry != null && newest != null && newest.revision > entry.revision) holdings.drop(shard) else emptyList()
        }

    private fun updateDesired() {
        desiredVersion = view.membershipVersion
        desired = assignShards(shards, view.serving().map { it.id })
    }

    private fun write(
        holder: LeaseHolder,
        shard: ShardId,
        previous: ControlEntry.OfShard?,
    ): StoreCall.WriteShard {
        val epoch = Epoch((previous?.record?.epoch?.value ?: 0) + 1)
        return StoreCall.WriteShard(shard, ShardRecord(holder, template.peer, epoch), previous?.revision ?: 0)
    }

    private companion object {
        const val GIVE_AGAIN_MILLIS = 5_000L
        const val HAND_OVERS_AT_ONCE = 4
    }
}
