/*
 * The seats that this daemon holds, is taking or is giving away. A seat is taken by compare-and-swap with an epoch one
 * higher. A write whose answer was lost is repeated unchanged until it is known to have succeeded or failed: the
 * conflict that a repeat meets shows the writer its own record.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.MonotonicTime

/** Why a seat is taken, which decides what has to be done before this daemon acts for it. */
internal sealed interface AcquireReason {
    /** The seat was never held: nothing. */
    data object NeverHeld : AcquireReason

    /** This daemon holds it under an earlier session, or had stopped to give it away: its grants are still here. */
    data object Reacquire : AcquireReason

    /** The previous holder's lease is gone: wait out the grant window, then recover the grants. */
    data object Takeover : AcquireReason

    /** The previous holder gave it with the message [token]: import the grants. */
    data class HandOver(
        val token: Long,
    ) : AcquireReason
}

/** What this daemon has to do with one seat at present. */
internal sealed interface ShardState {
    /** Acts for the seat while it has the right to. */
    data class Active(
        val entry: ControlEntry.OfShard,
    ) : ShardState

    /** The write that makes this daemon the holder is not known to have succeeded; [acting] goes on meanwhile. */
    data class Acquiring(
        val write: StoreCall.WriteShard,
        val reason: AcquireReason,
        val acting: ControlEntry.OfShard?,
        val retryAt: MonotonicTime?,
    ) : ShardState

    /** Holds the seat; acts once the grant window has passed, at [from], and the grants are recovered. */
    data class AwaitingGrantWindow(
        val entry: ControlEntry.OfShard,
        val from: MonotonicTime,
    ) : ShardState

    /** Holds the seat; acts once the grants are imported or recovered. */
    data class AwaitingGrants(
        val entry: ControlEntry.OfShard,
    ) : ShardState

    /** Has stopped acting and waits for the next holder's answer. */
    data class HandingOver(
        val entry: ControlEntry.OfShard,
    ) : ShardState
}

/** All seats with a [ShardState]. */
internal class HeldShards(
    private val settings: ShardSettings,
) {
    private val holdings = HashMap<ShardId, ShardState>()

    /** Grows at each change. */
    var version = 0L
        private set

    val shards: Set<ShardId> get() = holdings.keys

    operator fun get(shard: ShardId): ShardState? = holdings[shard]

    /** Records under which this daemon acts, right permitting. */
    fun acting(): List<ControlEntry.OfShard> =
        holdings.values.mapNotNull {
            when (it) {
                is ShardState.Active -> it.entry
                is ShardState.Acquiring -> it.acting
                is ShardState.AwaitingGrantWindow, is ShardState.AwaitingGrants, is ShardState.HandingOver -> null
            }
        }

    /** Starts to take a seat. */
    fun take(
        write: StoreCall.WriteShard,
        reason: AcquireReason,
    ): List<ShardEffect> {
        val acting = (holdings[write.shard] as? ShardState.Active)?.entry
        set(write.shard, ShardState.Acquiring(write, reason, acting, retryAt = null))
        return listOf(write)
    }

    /** Stops acting for a seat in order to give it away. */
    fun give(entry: ControlEntry.OfShard) = set(entry.shard, ShardState.HandingOver(entry))

    /** Forgets a seat that another daemon holds. */
    fun drop(shard: ShardId): List<ShardEffect> {
        set(shard, null)
        return listOf(GrantsCall.Discard(shard))
    }

    /** Repeats writes and starts recoveries that are due. */
    fun tick(now: MonotonicTime): List<ShardEffect> = holdings.keys.toList().mapNotNull { tickOne(it, now) }

    private fun tickOne(
        shard: ShardId,
        now: MonotonicTime,
    ): ShardEffect? {
        val holding = holdings.getValue(shard)
        return when {
            holding is ShardState.Acquiring && holding.retryAt != null && now >= holding.retryAt -> {
                set(shard, holding.copy(retryAt = null))
                holding.write
            }

            holding is ShardState.AwaitingGrantWindow && now >= holding.from -> {
                set(shard, ShardState.AwaitingGrants(holding.entry))
                GrantsCall.Recover(shard, holding.entry.record.epoch)
            }

            else -> {
                null
            }
        }
    }

    /** Notes that the grants of a seat were imported or recovered. */
    fun ready(event: ShardEvent.GrantsReady) {
        val holding = holdings[event.shard] as? ShardState.AwaitingGrants ?: return
        if (holding.entry.record.epoch == event.epoch) set(event.shard, ShardState.Active(holding.entry))
    }

    /** Notes the answer to a write. */
    fun written(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val call = event.call as StoreCall.WriteShard
        val holding = holdings[call.shard] as? ShardState.Acquiring ?: return emptyList()
        if (holding.write != call) return emptyList()
        return when (val answer = event.answer) {
            is StoreAnswer.Written -> taken(holding, answer.revision, now)
            is StoreAnswer.Conflict -> conflict(holding, answer.current, now)
            else -> listOf<ShardEffect>().also { set(call.shard, holding.copy(retryAt = now + RETRY_MILLIS)) }
        }
    }

    private fun conflict(
        holding: ShardState.Acquiring,
        current: ControlEntry?,
        now: MonotonicTime,
    ): List<ShardEffect> {
        if (current is ControlEntry.OfShard && current.record == holding.write.record) return taken(holding, current.revision, now)
        val refusal = (holding.reason as? AcquireReason.HandOver)?.let { ShardEffect.AnswerHandOver(it.token, HandOverAnswer.NOT_TAKEN) }
        return listOfNotNull(refusal) + drop(holding.write.shard)
    }

    private fun taken(
        holding: ShardState.Acquiring,
        revision: Long,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val shard = holding.write.shard
        val entry = ControlEntry.OfShard(shard, holding.write.record, revision)
        return when (val reason = holding.reason) {
            AcquireReason.NeverHeld, AcquireReason.Reacquire -> {
                set(shard, ShardState.Active(entry))
                emptyList()
            }

            AcquireReason.Takeover -> {
                set(shard, ShardState.AwaitingGrantWindow(entry, now + settings.grantWindowMillis))
                emptyList()
            }

            is AcquireReason.HandOver -> {
                set(shard, ShardState.AwaitingGrants(entry))
                listOf(
                    GrantsCall.Import(shard, entry.record.epoch, reason.token),
                    ShardEffect.AnswerHandOver(reason.token, HandOverAnswer.TAKEN),
                )
            }
        }
    }

    private fun set(
        shard: ShardId,
        holding: ShardState?,
    ) {
        if (holding == null) holdings -= shard else holdings[shard] = holding
        version++
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
