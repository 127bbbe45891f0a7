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
 * @property attestedUntil until when a majority of its roster attests, null when it doesn't.
 */
data class SeatRight(
    val holder: Holder,
    val leaseUntil: MonotonicTime?,
    val attestedUntil: MonotonicTime?,
) {
    /** Whether the daemon may act at [now]. */
    fun holds(now: MonotonicTime): Boolean = (leaseUntil != null && now < leaseUntil) || (attestedUntil != null && now < attestedUntil)
}

/**
 * What one daemon may do, valid until the next is made.
 *
 * @property right null before the first lease.
 * @property acting records of the seats for which the daemon acts while its right holds.
 */
class SeatSnapshot(
    val right: SeatRight?,
    val acting: Map<SeatId, SeatRecord>,
) {
    /** The epoch under which the daemon may decide for [seat] at [now]; null when it may not. */
    fun mayDecide(
        seat: SeatId,
        now: MonotonicTime,
    ): Epoch? {
        val record = acting[seat] ?: return null
        val current = right ?: return null
        return if (record.holder == current.holder && current.holds(now)) record.epoch else null
    }

    /** Whether the daemon's right holds at [now]. */
    fun current(now: MonotonicTime): Boolean = right?.holds(now) ?: false
}
