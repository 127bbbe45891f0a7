/*
 * Limits the concurrent requests at targets that have just started or recovered. The limit starts low, doubles with each generation of
 * answers that come within the predicted time, is halved when answers are late or fail, and is lifted once it reaches the target's slots.
 * Daemons tell each other the limit and the answers behind it, because none of many daemons sees enough answers of one target alone.
 */
package yuccaferry.decisions.limits

import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Limits of targets that have yet to prove themselves; all other targets have none. Not thread-safe. */
class TargetPace {
    private val paces = HashMap<TargetId, Pace>()

    /** Whether nothing is known of any target, so that none has a limit. */
    val isEmpty: Boolean get() = paces.isEmpty()

    /** Targets with a limit, or whose limit ended a moment ago. */
    val limited: List<TargetId> get() = paces.values.filter { !it.isReleased }.map { it.target }

    /**
     * Starts to limit the [run] of [target], which has [slots] slots and [active] requests in progress, at [now]; answers are expected
     * from [readyAt] on. Returns null if this run is limited already, proved itself in the last seconds, or has too few slots for a limit.
     */
    fun begin(
        target: TargetId,
        run: Incarnation,
        slots: Int,
        active: Int,
        now: MonotonicTime,
        readyAt: MonotonicTime = now,
    ): PaceChange? {
        if (paces[target]?.run == run || !hasRoomFor(target)) return null
        val allowed = maxOf(1, slots / START_SLOTS_DIVISOR, active / 2)
        if (allowed >= slots) return null
        paces[target] = Pace(target, run, slots, step = 0, allowed, changedAt = now, evidenceAt = readyAt, end = readyAt + MAX_MILLIS)
        return PaceChange(PaceChangeKind.STARTED, target, run, allowed)
    }

    /** Returns the requests that all daemons may have at the [run] of [target] at once; null if there is no limit. */
    fun allowed(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Int? = paces[target]?.takeIf { it.run == run && !it.isReleased && !it.isOver(now) }?.allowed

    /** Records an answer within the predicted time to a request sent at [sentAt]. */
    fun recordOnTime(
        target: TargetId,
        run: Incarnation,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ): PaceChange? {
        val pace = limited(target, run) ?: return null
        if (pace.isPredatedBy(sentAt)) return null
        pace.evidenceAt = maxOf(pace.evidenceAt, now)
        pace.confirmed++
        return pace.raiseIfConfirmed()
    }

    /** Records that a request sent at [sentAt] failed at the target, was rejected there, or was answered late. */
    fun recordTrouble(
        target: TargetId,
        run: Incarnation,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ): PaceChange? {
        val pace = limited(target, run) ?: return null
        pace.evidenceAt = maxOf(pace.evidenceAt, now)
        // Requests that were under way together fail together, which is one reason to lower the limit, not several.
        return if (pace.isPredatedBy(sentAt)) null else pace.lower(now)
    }

    /** Lifts the limits without recent evidence, and those whose time is over. */
    fun expire(now: MonotonicTime): List<PaceChange> {
        if (paces.isEmpty()) return emptyList()
        val over = paces.values.filter { it.isOver(now) }
        over.forEach { paces -= it.target }
        return over.filter { !it.isReleased }.map { PaceChange(PaceChangeKind.RELEASED, it.target, it.run, it.slots) }
    }

    /** Returns the limits with the most recent evidence, and those lifted in the last seconds, to be reported to peers. */
    fun reports(now: MonotonicTime): List<PaceReport> =
        paces.values
            .filter { !it.isOver(now) }
            .sortedByDescending { it.evidenceAt }
            .take(MAX_REPORTS)
            .map { it.toReport(now) }

    /** Records the [reports] of the daemon [from]; returns the changes that follow from them. */
    fun receive(
        from: DaemonName,
        reports: List<PaceReport>,
        now: MonotonicTime,
    ): List<PaceChange> = reports.take(MAX_REPORTS).mapNotNull { receive(from, it, now) }

    private fun receive(
        from: DaemonName,
        report: PaceReport,
        now: MonotonicTime,
    ): PaceChange? {
        if (report.ageMillis >= QUIET_MILLIS || report.leftMillis <= 0) return null
        val pace = paces[report.target]
        return when {
            pace == null -> adopt(from, report, now)

            // Runs have no order here: the platform's list decides which one is current, by a call of begin.
            pace.run != report.run -> null

            pace.step == report.step && pace.allowed == report.allowed -> pace.receive(from, report, now)

            pace.isOlderThan(report) -> pace.replaceBy(from, report, now)

            else -> null
        }
    }

    private fun adopt(
        from: DaemonName,
        report: PaceReport,
        now: MonotonicTime,
    ): PaceChange? {
        if (!hasRoomFor(report.target)) return null
        val end = now + minOf(report.leftMillis, MAX_MILLIS)
        val pace = Pace(report.target, report.run, report.slots, report.step, report.allowed, changedAt = now, report.evidenceAt(now), end)
        pace.confirmedBy[from] = report.confirmed
        paces[report.target] = pace
        return if (pace.isReleased) null else PaceChange(PaceChangeKind.STARTED, report.target, report.run, report.allowed)
    }

    private fun hasRoomFor(target: TargetId) = target in paces || paces.size < MAX_PACES

    private fun limited(
        target: TargetId,
        run: Incarnation,
    ): Pace? = paces[target]?.takeIf { it.run == run && !it.isReleased }

    /** The limit of one run of a target. */
    private class Pace(
        val target: TargetId,
        val run: Incarnation,
        val slots: Int,
        var step: Int,
        var allowed: Int,
        private var changedAt: MonotonicTime,
        var evidenceAt: MonotonicTime,
        private val end: MonotonicTime,
    ) {
        /** Answers of the current step within the predicted time: to this daemon, and to each peer by its last report. */
        var confirmed = 0
        val confirmedBy = HashMap<DaemonName, Int>()

        val isReleased: Boolean get() = allowed >= slots

        fun isOver(now: MonotonicTime) = now - evidenceAt >= QUIET_MILLIS || now >= end

        /** Whether the limit began or was lowered after [sentAt]: a request sent then says nothing of the current limit. */
        fun isPredatedBy(sentAt: MonotonicTime) = sentAt < changedAt

        fun isOlderThan(report: PaceReport) = step < report.step || (step == report.step && allowed > report.allowed)

        fun raiseIfConfirmed(): PaceChange? {
            if (isReleased || confirmed + confirmedBy.values.sum() < allowed) return null
            moveTo(step + 1, minOf(allowed * 2, slots))
            return change(if (isReleased) PaceChangeKind.RELEASED else PaceChangeKind.RAISED)
        }

        /** Halves the limit. At the lowest limit the step changes all the same, so that earlier answers no longer count. */
        fun lower(now: MonotonicTime): PaceChange? {
            val before = allowed
            moveTo(step + 1, maxOf(1, allowed / 2))
            changedAt = now
            return if (allowed < before) change(PaceChangeKind.LOWERED) else null
        }

        /** Counts a peer's answers of the same step. */
        fun receive(
            from: DaemonName,
            report: PaceReport,
            now: MonotonicTime,
        ): PaceChange? {
            if (report.confirmed <= (confirmedBy[from] ?: 0)) return null
            confirmedBy[from] = report.confirmed
            takeAge(report, now)
            return raiseIfConfirmed()
        }

        fun replaceBy(
            from: DaemonName,
            report: PaceReport,
            now: MonotonicTime,
        ): PaceChange? {
            val before = allowed
            moveTo(report.step, minOf(report.allowed, slots))
            confirmedBy[from] = report.confirmed
            takeAge(report, now)
            if (allowed < before) changedAt = now
            return when {
                isReleased -> change(PaceChangeKind.RELEASED).takeIf { before < slots }
                allowed < before -> change(PaceChangeKind.LOWERED)
                allowed > before -> change(PaceChangeKind.RAISED)
                else -> null
            }
        }

        fun toReport(now: MonotonicTime) = PaceReport(target, run, step, allowed, slots, confirmed, maxOf(0, now - evidenceAt), end - now)

        private fun takeAge(
            report: PaceReport,
            now: MonotonicTime,
        ) {
            evidenceAt = maxOf(evidenceAt, report.evidenceAt(now))
        }

        private fun moveTo(
            nextStep: Int,
            nextAllowed: Int,
        ) {
            step = nextStep
            allowed = nextAllowed
            confirmed = 0
            confirmedBy.clear()
        }

        private fun change(kind: PaceChangeKind) = PaceChange(kind, target, run, allowed)
    }

    companion object {
        private fun PaceReport.evidenceAt(now: MonotonicTime) = MonotonicTime(now.millis - ageMillis)

        /** Most limits in one report, so that a message stays within a datagram. */
        const val MAX_REPORTS = 8

        /** Part of the slots that a target may fill at first: a few requests, which show whether it answers in time. */
        private const val START_SLOTS_DIVISOR = 4

        /** Milliseconds without evidence after which a limit is lifted: several times the interval at which peers report. */
        private const val QUIET_MILLIS = 5_000L

        /** Longest time in milliseconds for which a run is limited; a target that is slower for good is left to the placement. */
        private const val MAX_MILLIS = 20_000L

        /** Most limits that are kept; targets beyond these have none. */
        private const val MAX_PACES = 1_024
    }
}
