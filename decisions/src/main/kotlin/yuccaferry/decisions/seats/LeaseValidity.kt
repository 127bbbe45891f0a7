/*
 * The right to decide at one moment: a pure function of what was known when it was made and of the time. It is kept
 * apart so that it can be asked at any time and from any thread, also by a process that was paused meanwhile.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime

/**
 * Until when one daemon in one session may act.
 *
 * @property leaseUntil end of its lease, null when the store has said that it lapsed.
 * @property extendedUntil until when a majority of its roster attests, null when it doesn't.
 */
data class LeaseValidity(
    val holder: LeaseHolder,
    val leaseUntil: MonotonicTime?,
    val extendedUntil: MonotonicTime?,
) {
    /** Whether the daemon may act at [now]. */
    fun holds(now: MonotonicTime): Boolean = (leaseUntil != null && now < leaseUntil) || (extendedUntil != null && now < extendedUntil)
}

/**
 * What one daemon may do, valid until the next is made.
 *
 * @property right null before the first lease.
 * @property acting records of the seats for which the daemon acts while its right holds.
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
        return if (record.holder == current.holder && current.holds(now)) record.epoch else null
    }

    /** Whether the daemon's right holds at [now]. */
    fun current(now: MonotonicTime): Boolean = validity?.holds(now) ?: false
}
