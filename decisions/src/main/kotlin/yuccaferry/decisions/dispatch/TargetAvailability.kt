/*
 * Targets that must get nothing new from this daemon because they said so in an answer: those that are leaving, and those that asked for a
 * pause. What a target said holds for that run of it, whatever the platform's list says, and only for the daemon that heard it.
 */
package yuccaferry.decisions.dispatch

import yuccaferry.decisions.spreadOf
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Whether a target accepts new work from this daemon. */
sealed interface Availability {
    /** The target has said nothing against new work. */
    data object Open : Availability

    /** The target is leaving, and stays in this state until it runs anew. */
    data object Leaving : Availability

    /** The target asked for a pause, after which this daemon may send to it from [end] on. */
    data class Paused(
        val end: MonotonicTime,
    ) : Availability
}

/** What targets said about new work from the daemon [own]; not thread-safe. */
class TargetAvailability(
    private val own: DaemonName,
) {
    private val states = HashMap<TargetId, State>()

    /** Whether no target has said anything. */
    val isEmpty: Boolean get() = states.isEmpty()

    /** Records that the [run] of [target] is leaving; returns whether that is news. */
    fun recordLeaving(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Boolean {
        val state = stateOf(target, run, now)
        val isNews = state.leavingSince == null
        if (isNews) state.leavingSince = now
        return isNews
    }

    /**
     * Records that the [run] of [target] asked for a pause of [millis]; returns whether it ends later than what is known. The pause ends
     * later by a small part of it that differs between daemons, so that they don't return together.
     */
    fun recordPause(
        target: TargetId,
        run: Incarnation,
        millis: Long,
        now: MonotonicTime,
    ): Boolean {
        val state = stateOf(target, run, now)
        val length = millis.coerceIn(0, MAX_PAUSE_MILLIS)
        val spread = minOf(length * SPREAD_SHARE, MAX_SPREAD_MILLIS) * spreadOf("${own.value}/${target.value}")
        val end = now + (length + MARGIN_MILLIS + spread.toLong())
        val before = state.pauseEnd
        if (before != null && end <= before) return false
        state.pauseEnd = end
        return true
    }

    /** Returns whether the [run] of [target] may get new work at [now]. */
    fun of(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Availability {
        val state = states[target]?.takeIf { it.run == run } ?: return Availability.Open
        if (state.leavingSince != null) return Availability.Leaving
        return state.pauseEnd?.takeIf { now < it }?.let { Availability.Paused(it) } ?: Availability.Open
    }

    private fun stateOf(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): State {
        if (states.size >= MAX_REMEMBERED) states.values.removeIf { it.isOver(now) }
        val known = states[target]
        return if (known?.run == run) known else State(run).also { states[target] = it }
    }

    private class State(
        val run: Incarnation,
        var leavingSince: MonotonicTime? = null,
        var pauseEnd: MonotonicTime? = null,
    ) {
        fun isOver(now: MonotonicTime): Boolean =
            (pauseEnd?.let { it <= now } ?: true) && (leavingSince?.let { now - it > LEAVING_MEMORY_MILLIS } ?: true)
    }

    private companion object {
        /** Milliseconds by which a pause is kept longer, for the difference between the clocks of daemon and target. */
        const val MARGIN_MILLIS = 20L

        /** Largest part of a pause, and most milliseconds, by which daemons spread their return. */
        const val SPREAD_SHARE = 0.25
        const val MAX_SPREAD_MILLIS = 2_000.0

        /** Longest pause in milliseconds that is told from a longer one: ten years, beyond the life of a process. */
        const val MAX_PAUSE_MILLIS = 315_360_000_000L

        /** Milliseconds for which a leaving target is remembered once there are many: far longer than targets take to leave. */
        const val LEAVING_MEMORY_MILLIS = 3_600_000L

        /** Targets remembered before those are dropped of which nothing holds anymore. */
        const val MAX_REMEMBERED = 1_024
    }
}
