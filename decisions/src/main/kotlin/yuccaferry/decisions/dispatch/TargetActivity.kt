/*
 * When targets last sent something, whichever request it belonged to. A target that answers others is only late, and one that sends nothing
 * may have stalled; the two need different patience.
 */
package yuccaferry.decisions.dispatch

import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** The last sign of each target; not thread-safe. */
class TargetActivity {
    private val signs = HashMap<TargetId, Sign>()

    /** Records that the [run] of [target] sent something at [time]. */
    fun record(
        target: TargetId,
        run: Incarnation,
        time: MonotonicTime,
    ) {
        val last = signs[target]
        if (last != null && last.run == run && time <= last.time) return
        if (signs.size >= MAX_REMEMBERED) signs.values.removeIf { time - it.time > MEMORY_MILLIS }
        signs[target] = Sign(run, time)
    }

    /** Returns whether the [run] of [target] has sent anything since [time]. */
    fun hasSentSince(
        target: TargetId,
        run: Incarnation,
        time: MonotonicTime,
    ): Boolean = signs[target]?.let { it.run == run && it.time > time } == true

    private class Sign(
        val run: Incarnation,
        val time: MonotonicTime,
    )

    private companion object {
        /** Targets remembered before old signs are dropped, and the milliseconds after which a sign is old: beyond the longest request. */
        const val MAX_REMEMBERED = 2_048
        const val MEMORY_MILLIS = 60_000L
    }
}
