/*
 * Reconciles the shards of this daemon with the desired assignment: takes over shards of holders whose lease is gone, and
 * hands over shards that another daemon should hold.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ShardNumber

/** Shards of one daemon. */
internal class ShardReconciler(
    private val template: DaemonRecord,
    private val settings: ShardSettings,
    private val view: ControlView,
    private val lease: LeaseManager,
) {
    private val shards = (0 until settings.shardsPerRegion).map { ShardId(template.region, ShardNumber(it)) }
    private val heldShards = HeldShards(settings)
    private val takeovers = TakeoverTracker(template.region, settings)
    private val releasedRevision = HashMap<ShardId, Long>()
    private val handOverRetryAt = HashMap<ShardId, MonotonicTime>()
    private var desired: Map<ShardId, DaemonId> = emptyMap()
    private var desiredVersion = -1L

    /** Grows when the held shards change. */
    val version: Long get() = heldShards.version

    /** Whether this daemon neither holds nor acquires a shard. */
    val empty: Boolean get() = heldShards.shards.isEmpty()

    /** Records under which this daemon acts while its lease or lease extension is valid. */
    fun acting(): Map<ShardId, ShardRecord> = heldShards.acting().associate { it.shard to it.record }

    fun handleGrantsReady(event: ShardEvent.GrantsReady) = heldShards.handleGrantsReady(event)

    fun handlePromiseAnswer(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ) = takeovers.handlePromiseAnswer(event, now)

    fun handleVoterSetRead(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ) = takeovers.handleVoterSetRead(event, view, now)

    /** Returns the effects that are due. */
    fun tick(now: MonotonicTime): List<ShardEffect> {
        val effects = ArrayList<ShardEffect>()
        effects += dropSuperseded()
        effects += heldShards.tick(now)
        val holder = lease.holder
        if (holder == null || !lease.valid(now)) return effects
        if (desiredVersion != view.membershipVersion) updateDesired()
        effects += takeovers.tick(expiredHolders(), view, now)
        shards.forEach { effects += reconcile(it, holder, now) }
        return effects
    }

    /** Accepts or refuses a shard that a peer hands over. */
    fun handleHandOver(
        event: ShardEvent.HandOverReceived,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val request = event.request
        val holder = lease.holder
        val eligible = holder != null && lease.valid(now) && lease.state == DaemonState.SERVING && request.shard in shards
        if (!eligible || heldShards[request.shard] != null) {
            return listOf(ShardEffect.AnswerHandOver(event.token, HandOverAnswer.NOT_TAKEN))
        }
        val record = ShardRecord(holder, template.peer, Epoch(request.epoch.value + 1))
        return heldShards.acquire(StoreCall.WriteShard(request.shard, record, request.revision), AcquireReason.HandOver(event.token))
    }

    /** Handles the answer to a hand-over; unless the receiver took the shard, this daemon takes it back. */
    fun handleHandOverAnswer(
        event: ShardEvent.HandOverAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val call = event.call
        val held = heldShards[call.shard] as? ShardState.HandingOver ?: return emptyList()
        if (held.entry.record.epoch != call.epoch) return emptyList()
        if (event.answer == HandOverAnswer.TAKEN) {
            releasedRevision[call.shard] = held.entry.revision
            return heldShards.drop(call.shard)
        }
        handOverRetryAt[call.shard] = now + HAND_OVER_RETRY_MILLIS
        val holder = lease.holder ?: return emptyList()
        return heldShards.acquire(write(holder, call.shard, held.entry), AcquireReason.Reacquire)
    }

    /** Handles the answer to the write of a shard. */
    fun handleWriteAnswer(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val call = event.call as StoreCall.WriteShard
        when (val answer = event.answer) {
            is StoreAnswer.Written -> view.applyEntry(ControlEntry.OfShard(call.shard, call.record, answer.revision))
            is StoreAnswer.Conflict -> answer.current?.let(view::applyEntry)
            else -> Unit
        }
        return heldShards.handleWriteAnswer(event, now)
    }

    private fun reconcile(
        shard: ShardId,
        holder: LeaseHolder,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val entry = view.shard(shard)
        val held = heldShards[shard]
        val wanted = desired[shard] == template.id && lease.state == DaemonState.SERVING
        return when {
            held is ShardState.Active && held.entry.record.holder != holder -> {
                heldShards.acquire(write(holder, shard, held.entry), AcquireReason.Reacquire)
            }

            held is ShardState.Active && !wanted -> {
                startHandOver(held.entry, holder, now)
            }

            held != null || !wanted -> {
                emptyList()
            }

            entry == null -> {
                heldShards.acquire(write(holder, shard, null), AcquireReason.NeverHeld)
            }

            canTakeOver(entry, now) -> {
                heldShards.acquire(write(holder, shard, entry), AcquireReason.Takeover)
            }

            else -> {
                emptyList()
            }
        }
    }

    private fun startHandOver(
        entry: ControlEntry.OfShard,
        holder: LeaseHolder,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val next = desired[entry.shard]?.takeIf { it != template.id }?.let(view::daemon) ?: return emptyList()
        if (handOverRetryAt[entry.shard].let { it != null && now < it }) return emptyList()
        if (heldShards.shards.count { heldShards[it] is ShardState.HandingOver } >= MAX_CONCURRENT_HAND_OVERS) return emptyList()
        heldShards.startHandOver(entry)
        return listOf(PeerCall.HandOver(next, entry.shard, entry.record.epoch, entry.revision, holder))
    }

    /**
     * Whether the holder in [entry] can't act any more. When the record names this daemon although it doesn't hold the shard,
     * no other daemon acts. A record from before this daemon handed the shard over doesn't count: the receiver may act.
     */
    private fun canTakeOver(
        entry: ControlEntry.OfShard,
        now: MonotonicTime,
    ): Boolean {
        val holder = entry.record.holder
        if (holder.daemon == template.id) return entry.revision > (releasedRevision[entry.shard] ?: 0)
        return takeovers.isFenced(holder, now)
    }

    /** Holders whose lease is gone and whose shards this daemon should hold. */
    private fun expiredHolders(): Set<LeaseHolder> {
        if (lease.state != DaemonState.SERVING) return emptySet()
        val wanted = shards.filter { desired[it] == template.id && heldShards[it] == null }.mapNotNull { view.shard(it) }
        val holders = wanted.map { it.record.holder }.filter { it.daemon != template.id }
        return holders.filterTo(HashSet()) { (view.absentMillis(it.daemon) ?: -1) >= settings.absenceGraceMillis }
    }

    /** Drops shards for which a newer record names another holder. */
    private fun dropSuperseded(): List<ShardEffect> =
        heldShards.shards.toList().flatMap { shard ->
            val entry =
                when (val held = heldShards[shard]) {
                    is ShardState.Active -> held.entry
                    is ShardState.AwaitingGrantWindow -> held.entry
                    is ShardState.AwaitingGrants -> held.entry
                    is ShardState.HandingOver, is ShardState.Acquiring, null -> null
                }
            val newest = view.shard(shard)
            if (entry != null && newest != null && newest.revision > entry.revision) heldShards.drop(shard) else emptyList()
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
        const val HAND_OVER_RETRY_MILLIS = 5_000L
        const val MAX_CONCURRENT_HAND_OVERS = 4
    }
}
