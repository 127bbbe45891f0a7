/*
 * Joins what targets say of their load with the requests that the daemons know of. Daemons don't tell each other about every request, and a
 * target may still work on one that its daemon has given up, so a target often has more requests than are known. What it has beyond
 * them when it answers is counted as unaccounted, and ends within the time of a usual answer unless another answer confirms it.
 */
package yuccaferry.decisions.dispatch

import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** The load [load] that the run [run] of [target] stated [ageMillis] ago. */
data class TargetReport(
    val target: TargetId,
    val run: Incarnation,
    val load: ReportedLoad,
    val ageMillis: Long,
)

/** The newest load that each target has stated to this daemon or to its peers; not thread-safe. */
class LoadReports {
    private val byTarget = HashMap<TargetId, Report>()

    /**
     * Records that the [run] of [target] stated [load] at [time], when [known] requests at it were known of, one that it has just rejected
     * not among them. A report older than the last one of the same run is ignored; returns whether this one is news.
     */
    fun record(
        target: TargetId,
        run: Incarnation,
        load: ReportedLoad,
        known: Int,
        time: MonotonicTime,
    ): Boolean {
        val last = byTarget[target]
        if (last != null && last.run == run && time <= last.time) return false
        if (byTarget.size >= MAX_REMEMBERED) byTarget.values.removeIf { time - it.time > VALID_MILLIS }
        byTarget[target] = Report(run, load, maxOf(0, load.requests - known), time)
        return true
    }

    /** Returns the requests at the [run] of [target] beyond the known ones, which decrease to zero within [VALID_MILLIS]. */
    fun unaccounted(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Double {
        val report = byTarget[target]?.takeIf { it.run == run } ?: return 0.0
        val left = 1 - (now - report.time).toDouble() / VALID_MILLIS
        return report.unaccounted * left.coerceIn(0.0, 1.0)
    }

    /**
     * Returns the reports that peers can't know from each other's requests, for at most [MAX_REPORTED] targets, the fullest first: those of
     * targets that are full or have several unaccounted requests.
     */
    fun reportable(now: MonotonicTime): List<TargetReport> =
        byTarget.entries
            .filter { (_, report) -> report.isNotable && now - report.time <= MAX_REPORTED_AGE_MILLIS }
            .sortedByDescending { (_, report) -> report.load.requests }
            .take(MAX_REPORTED)
            .map { (target, report) -> TargetReport(target, report.run, report.load, now - report.time) }

    private class Report(
        val run: Incarnation,
        val load: ReportedLoad,
        val unaccounted: Int,
        val time: MonotonicTime,
    ) {
        val isNotable get() = load.isFull || unaccounted >= NOTABLE_REQUESTS
    }

    companion object {
        /** Milliseconds for which unaccounted requests count: the time that a usual short answer takes. */
        const val VALID_MILLIS = 2_000L

        /** Most reports in one message to peers. */
        const val MAX_REPORTED = 16

        /** Oldest report in milliseconds that is passed on: half of the time for which it counts. */
        private const val MAX_REPORTED_AGE_MILLIS = VALID_MILLIS / 2

        /** Unaccounted requests from which on peers are told. */
        private const val NOTABLE_REQUESTS = 2

        /** Targets remembered before old reports are dropped. */
        private const val MAX_REMEMBERED = 2_048
    }
}
