/*
 * Shards that this daemon holds, is acquiring or is handing over. A shard is acquired by a compare-and-swap that raises
 * its epoch by one. A write whose answer was lost is repeated unchanged until its result is known: when the first write
 * succeeded, the repeated one fails with a conflict that contains the writer's own record.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.MonotonicTime

/** Reason for acquiring a shard; it determines what has to be done before this daemon acts for the shard. */
internal sealed interface AcquireReason {
    /** The shard was never held: nothing has to be done. */
    data object NeverHeld : AcquireReason

    /** This daemon holds the shard under an earlier session, or its hand-over failed: its grants are still here. */
    data object Reacquire : AcquireReason

    /** The previous holder's lease is gone: the grant window has to pass, then the grants are recovered. */
    data object Takeover : AcquireReason

    /** The previous holder handed the shard over with the message [token]: the grants are imported. */
    data class HandOver(
        val token: Long,
    ) : AcquireReason
}

/** State of one shard on this daemon. */
internal sealed interface ShardState {
    /** This daemon acts for the shard while its lease or lease extension is valid. */
    data class Active(
        val entry: ControlEntry.OfShard,
    ) : ShardState

    /** The write that makes this daemon the holder is not known to have succeeded; it acts under [acting] meanwhile. */
    data class Acquiring(
        val write: StoreCall.WriteShard,
        val reason: AcquireReason,
        val acting: ControlEntry.OfShard?,
        val retryAt: MonotonicTime?,
    ) : ShardState

    /** This daemon holds the shard; it acts once the grant window has passed, at [until], and the grants are recovered. */
    data class AwaitingGrantWindow(
        val entry: ControlEntry.OfShard,
        val until: MonotonicTime,
    ) : ShardState

    /** This daemon holds the shard; it acts once the grants are imported or recovered. */
    data class AwaitingGrants(
        val entry: ControlEntry.OfShard,
    ) : ShardState

    /** This daemon has stopped acting for the shard; the next holder has not answered yet. */
    data class HandingOver(
        val entry: ControlEntry.OfShard,
    ) : ShardState
}

/** All shards with a [ShardState]. */
internal class HeldShards(
    private val settings: ShardSettings,
) {
    private val states = HashMap<ShardId, ShardState>()

    /** Grows at each change. */
    var version = 0L
        private set

    val shards: Set<ShardId> get() = states.keys

    operator fun get(shard: ShardId): ShardState? = states[shard]

    /** Records under which this daemon acts while its lease or lease extension is valid. */
    fun acting(): List<ControlEntry.OfShard> =
        states.values.mapNotNull {
            when (it) {
                is ShardState.Active -> it.entry
                is ShardState.Acquiring -> it.acting
                is ShardState.AwaitingGrantWindow, is ShardState.AwaitingGrants, is ShardState.HandingOver -> null
            }
        }

    /** Starts to acquire a shard. */
    fun acquire(
        write: StoreCall.WriteShard,
        reason: AcquireReason,
    ): List<ShardEffect> {
        val acting = (states[write.shard] as? ShardState.Active)?.entry
        set(write.shard, ShardState.Acquiring(write, reason, acting, retryAt = null))
        return listOf(write)
    }

    /** Stops acting for a shard in order to hand it over. */
    fun startHandOver(entry: ControlEntry.OfShard) = set(entry.shard, ShardState.HandingOver(entry))

    /** Drops a shard that another daemon holds. */
    fun drop(shard: ShardId): List<ShardEffect> {
        set(shard, null)
        return listOf(GrantsCall.Discard(shard))
    }

    /** Returns the repeated writes and the recoveries of grants that are due. */
    fun tick(now: MonotonicTime): List<ShardEffect> = states.keys.toList().mapNotNull { tickOne(it, now) }

    private fun tickOne(
        shard: ShardId,
        now: MonotonicTime,
    ): ShardEffect? {
        val held = states.getValue(shard)
        return when {
            held is ShardState.Acquiring && held.retryAt != null && now >= held.retryAt -> {
                set(shard, held.copy(retryAt = null))
                held.write
            }

            held is ShardState.AwaitingGrantWindow && now >= held.until -> {
                set(shard, ShardState.AwaitingGrants(held.entry))
                GrantsCall.Recover(shard, held.entry.record.epoch)
            }

            else -> {
                null
            }
        }
    }

    /** Starts to act for a shard whose grants were imported or recovered. */
    fun handleGrantsReady(event: ShardEvent.GrantsReady) {
        val held = states[event.shard] as? ShardState.AwaitingGrants ?: return
        if (held.entry.record.epoch == event.epoch) set(event.shard, ShardState.Active(held.entry))
    }

    /** Handles the answer to a write. */
    fun handleWriteAnswer(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val call = event.call as StoreCall.WriteShard
        val held = states[call.shard] as? ShardState.Acquiring ?: return emptyList()
        if (held.write != call) return emptyList()
        return when (val answer = event.answer) {
            is StoreAnswer.Written -> acquired(held, answer.revision, now)
            is StoreAnswer.Conflict -> conflict(held, answer.current, now)
            else -> listOf<ShardEffect>().also { set(call.shard, held.copy(retryAt = now + RETRY_MILLIS)) }
        }
    }

    private fun conflict(
        held: ShardState.Acquiring,
        current: ControlEntry?,
        now: MonotonicTime,
    ): List<ShardEffect> {
        if (current is ControlEntry.OfShard && current.record == held.write.record) return acquired(held, current.revision, now)
        val refusal = (held.reason as? AcquireReason.HandOver)?.let { ShardEffect.AnswerHandOver(it.token, HandOverAnswer.NOT_TAKEN) }
        return listOfNotNull(refusal) + drop(held.write.shard)
    }

    private fun acquired(
        held: ShardState.Acquiring,
        revision: Long,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val shard = held.write.shard
        val entry = ControlEntry.OfShard(shard, held.write.record, revision)
        return when (val reason = held.reason) {
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
        held: ShardState?,
    ) {
        if (held == null) states -= shard else states[shard] = held
        version++
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
