/*
 * Penalties of targets that peers report. A single daemon may be in trouble itself, for example cut off from targets that others reach,
 * so a report counts only once a second daemon agrees.
 */
package yuccaferry.decisions.dispatch

import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Penalty in milliseconds of one run of a target, as one daemon sees it. */
data class TargetPenalty(
    val target: TargetId,
    val run: Incarnation,
    val millis: Double,
)

/** The last reports of peers; not thread-safe. */
class PeerReports {
    private val byTarget = HashMap<TargetId, HashMap<DaemonName, Report>>()

    /** Records the [penalties] that the daemon [from] reports at [now]. */
    fun receive(
        from: DaemonName,
        penalties: List<TargetPenalty>,
        now: MonotonicTime,
    ) {
        if (byTarget.size > MAX_TARGETS) byTarget.values.removeIf { reports -> reports.values.all { it.isExpired(now) } }
        penalties.take(MAX_PENALTIES).forEach {
            byTarget.getOrPut(it.target) { HashMap(2) }[from] = Report(it.run, it.millis, now)
        }
    }

    /** Returns the penalty of [target] on which two daemons agree, this one with [ownMillis] among them; zero if there is none. */
    fun agreedMillis(
        target: TargetId,
        run: Incarnation,
        ownMillis: Double,
        now: MonotonicTime,
    ): Double {
        val reports = byTarget[target] ?: return 0.0
        var highest = ownMillis
        var second = 0.0
        for (report in reports.values) {
            if (report.run != run || report.isExpired(now)) continue
            if (report.millis > highest) {
                second = highest
                highest = report.millis
            } else {
                second = maxOf(second, report.millis)
            }
        }
        return second
    }

    private class Report(
        val run: Incarnation,
        val millis: Double,
        private val at: MonotonicTime,
    ) {
        fun isExpired(now: MonotonicTime) = now - at > EXPIRY_MILLIS
    }

    companion object {
        /** Most penalties in one report. */
        const val MAX_PENALTIES = 16

        /** Milliseconds for which a report counts: time for reports of several daemons that seldom meet the same target. */
        private const val EXPIRY_MILLIS = 4_000L

        /** Targets with reports above which expired ones are dropped. */
        private const val MAX_TARGETS = 256
    }
}
