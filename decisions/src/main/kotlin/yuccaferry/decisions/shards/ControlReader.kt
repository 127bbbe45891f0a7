// Schedule of reads of the control records: changes often, all daemons of the region less often, one read of each at a time.
package yuccaferry.decisions.shards

import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** Schedules the reads that keep [view] current. */
internal class ControlReader(
    private val region: RegionName,
    private val settings: ShardSettings,
    private val view: ControlView,
) {
    private var changes = Schedule()
    private var daemons = Schedule()

    /** Whether both kinds of read have succeeded at least once. */
    val complete: Boolean get() = changes.succeeded && daemons.succeeded

    /** Returns the reads that are due. */
    fun tick(now: MonotonicTime): List<ShardEffect> =
        listOfNotNull(
            if (changes.start(now)) StoreCall.ReadControl(view.revision) else null,
            if (changes.succeeded && daemons.start(now)) StoreCall.ReadDaemons(region) else null,
        )

    /** Schedules the next full read as early as the minimum interval allows, because a promise was refused for want of a recent one. */
    fun expediteDaemonRead() = daemons.bringForward(settings.fullReadMillis)

    /** Handles the answer to a read. */
    fun handleAnswer(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ) {
        val contents = event.answer as? StoreAnswer.Contents
        if (event.call is StoreCall.ReadControl) {
            contents?.let(view::apply)
            changes.end(now, contents != null, settings.pollIntervalMillis(view.fleetSize))
        } else {
            contents?.let { view.applyDaemons(it, event.sentAt, now) }
            daemons.end(now, contents != null, settings.fullReadIntervalMillis(view.regionSize))
            if (view.hasUnconfirmedAbsence(settings.absenceGraceMillis)) daemons.bringForward(settings.absenceGraceMillis)
        }
    }

    private class Schedule {
        private var inFlight = false
        private var nextAt: MonotonicTime? = null
        private var endedAt: MonotonicTime? = null
        var succeeded = false
            private set

        fun start(now: MonotonicTime): Boolean {
            if (inFlight || nextAt.let { it != null && now < it }) return false
            inFlight = true
            return true
        }

        /** Lets the next read start [intervalMillis] after the end of the last one, unless it is due earlier. */
        fun bringForward(intervalMillis: Long) {
            val early = endedAt?.plus(intervalMillis) ?: return
            nextAt = nextAt?.let { minOf(it, early) }
        }

        fun end(
            now: MonotonicTime,
            success: Boolean,
            intervalMillis: Long,
        ) {
            inFlight = false
            endedAt = now
            nextAt = now + if (success) intervalMillis else RETRY_MILLIS
            succeeded = succeeded || success
        }
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
