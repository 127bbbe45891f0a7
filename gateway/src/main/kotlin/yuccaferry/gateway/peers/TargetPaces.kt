// Finds the targets that have just started or recovered, and the concurrency that they are allowed, from this daemon's attempts.
package yuccaferry.gateway.peers

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.decisions.limits.PaceChange
import yuccaferry.decisions.limits.PaceChangeKind
import yuccaferry.decisions.limits.PaceReport
import yuccaferry.decisions.limits.TargetPace
import yuccaferry.gateway.view.Target
import yuccaferry.gateway.view.UsableTargets
import yuccaferry.model.DaemonName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Limits of young and recovered targets, [reports] being what peers say of targets that failed; confined to the event loop. */
internal class TargetPaces(
    private val workTracker: WorkTracker,
    private val health: TargetHealth,
    private val reports: PeerReports,
    private val telemetry: Telemetry,
) {
    private val pace = TargetPace()

    /** Called when peers are to be told. */
    var onNews: () -> Unit = {}

    /** Whether no target has a limit. */
    val isEmpty: Boolean get() = pace.isEmpty

    init {
        telemetry.gauge("yuccaferry_targets_paced") { pace.limited.size.toDouble() }
    }

    /** Limits [target], listed as [before] until now, if it has started again or become cold; one that is first seen warm is not. */
    fun observe(
        before: Target?,
        target: Target,
        now: MonotonicTime,
    ) {
        val hasStarted = before != null && before.incarnation != target.incarnation
        val isNewlyCold = target.coldUntil > now && (before == null || before.coldUntil <= now)
        if (hasStarted || isNewlyCold) begin(target, if (hasStarted) "started" else "cold", active = 0, now)
    }

    /** Returns those of [targets] that have as many requests as they are allowed, [active] telling how many are known at each. */
    fun heldBack(
        targets: UsableTargets,
        now: MonotonicTime,
        active: (Target) -> Int,
    ): Set<TargetId> {
        if (isEmpty) return emptySet()
        return pace.limited
            .mapNotNull { targets[it] }
            .filter { !allows(it, now) { active(it) } }
            .mapTo(HashSet()) { it.id }
    }

    /** Returns whether [target], at which [active] requests are known, is allowed another one. */
    fun allows(
        target: Target,
        now: MonotonicTime,
        active: () -> Int,
    ): Boolean = pace.allowed(target.id, target.incarnation, now)?.let { active() < it } ?: true

    /** Records that the first event of a request sent to [target] at [sentAt] came, [predictedMillis] having been predicted. */
    fun recordFirstEvent(
        target: Target,
        predictedMillis: Double,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        beginIfRecovered(target, now)
        recordAnswer(target, TargetHealth.isLate(predictedMillis, (now - sentAt).toDouble()), sentAt, now)
    }

    /** Records the [end] of an attempt that began at [sentAt]; [wasTimed] says that its first event has been recorded. */
    fun recordEnd(
        target: Target,
        end: AttemptEnd,
        wasTimed: Boolean,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        when (end) {
            // What was not sent, or was kept from a target that pauses, says nothing of how much work the target bears.
            AttemptEnd.NotSent, AttemptEnd.Withheld, is AttemptEnd.AskedForPause -> Unit

            is AttemptEnd.Rejected, is AttemptEnd.Broken, AttemptEnd.TimedOut -> recordAnswer(target, isTrouble = true, sentAt, now)

            is AttemptEnd.Answered -> recordComplete(target, end.status, wasTimed, sentAt, now)
        }
    }

    /** Lifts limits that are over, and returns those to be reported to peers. */
    fun reports(now: MonotonicTime): List<PaceReport> {
        pace.expire(now).forEach { log(it) }
        return pace.reports(now)
    }

    /** Records the limits that the daemon [from] reports. */
    fun receive(
        from: DaemonName,
        told: List<PaceReport>,
        now: MonotonicTime,
    ) = pace.receive(from, told, now).forEach { count(it, by = "peer") }

    private fun recordComplete(
        target: Target,
        status: Int,
        wasTimed: Boolean,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        val failed = status >= SERVER_ERROR_STATUS
        if (!failed) beginIfRecovered(target, now)
        if (failed || !wasTimed) recordAnswer(target, failed, sentAt, now)
    }

    private fun recordAnswer(
        target: Target,
        isTrouble: Boolean,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        if (pace.allowed(target.id, target.incarnation, now) == null) return
        val change =
            if (isTrouble) {
                pace.recordTrouble(target.id, target.incarnation, sentAt, now)
            } else {
                pace.recordOnTime(target.id, target.incarnation, sentAt, now)
            }
        change?.let { log(it) }
        onNews()
    }

    /** Limits [target] if two daemons saw it fail a short time ago; one of them alone may itself be cut off from it. */
    private fun beginIfRecovered(
        target: Target,
        now: MonotonicTime,
    ) {
        val own = health.penaltyMillis(target.id, target.incarnation, now)
        if (reports.agreedMillis(target.id, target.incarnation, own, now) < FAILED_MILLIS) return
        begin(target, "recovered", workTracker.totalsAt(target.id, now).active, now)
    }

    private fun begin(
        target: Target,
        reason: String,
        active: Int,
        now: MonotonicTime,
    ) {
        pace.expire(now).forEach { log(it) }
        val change = pace.begin(target.id, target.incarnation, target.slots, active, now, readyAt = maxOf(now, target.coldUntil)) ?: return
        log(change, Field("reason", reason), Field("slots", target.slots))
    }

    private fun log(
        change: PaceChange,
        vararg details: Field,
    ) {
        count(change, by = "own")
        val fields = arrayOf(Field("target", change.target), Field("run", change.run), Field("allowed", change.allowed), *details)
        when (change.kind) {
            PaceChangeKind.STARTED -> telemetry.event("target_pace_started", *fields)
            PaceChangeKind.RAISED -> Unit
            PaceChangeKind.LOWERED -> telemetry.event("target_pace_lowered", *fields)
            PaceChangeKind.RELEASED -> telemetry.event("target_pace_released", *fields)
        }
    }

    private fun count(
        change: PaceChange,
        by: String,
    ) = telemetry.count("yuccaferry_target_pace_changes_total", 1.0, Field("change", change.kind.name.lowercase()), Field("by", by))

    private companion object {
        const val SERVER_ERROR_STATUS = 500

        /** Penalty in ms on which two daemons agree while a target fails: half of that of a broken answer. */
        const val FAILED_MILLIS = TargetHealth.BROKEN_MILLIS / 2
    }
}
