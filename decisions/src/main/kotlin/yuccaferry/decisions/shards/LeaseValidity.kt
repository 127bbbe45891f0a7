/*
 * Whether a daemon may decide for a shard at a given time. The classes are immutable, so that any thread can check at any
 * time, also in a process that was paused after the snapshot was made.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime

/**
 * Time until which one daemon in one session may act.
 *
 * @property leaseUntil end of its lease; null when the store has reported that it expired.
 * @property extendedUntil end of its lease extension by a majority of the voter set; null when there is none.
 */
data class LeaseValidity(
    val holder: LeaseHolder,
    val leaseUntil: MonotonicTime?,
    val extendedUntil: MonotonicTime?,
) {
    /** Whether the daemon may act at [now]. */
    fun validAt(now: MonotonicTime): Boolean = (leaseUntil != null && now < leaseUntil) || (extendedUntil != null && now < extendedUntil)
}

/**
 * Shards for which one daemon may act; replaced by a new snapshot after each change.
 *
 * @property validity null before the first lease.
 * @property acting records of the shards for which the daemon acts while [validity] permits.
 */
class ShardSnapshot(
    val validity: LeaseValidity?,
    val acting: Map<ShardId, ShardRecord>,
) {
    /** The epoch under which the daemon may decide for [shard] at [now]; null when it may not. */
    fun mayDecide(
        shard: ShardId,
        now: MonotonicTime,
    ): Epoch? {
        val record = acting[shard] ?: return null
        val current = validity ?: return null
        return if (record.holder == current.holder && current.validAt(now)) record.epoch else null
    }

    /** Whether the daemon may act at [now]. */
    fun current(now: MonotonicTime): Boolean = validity?.validAt(now) ?: false
}
