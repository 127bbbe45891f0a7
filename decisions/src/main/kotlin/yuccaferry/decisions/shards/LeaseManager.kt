/*
 * Keeps one lease and the daemon's record under it. A lease counts from before its grant or renewal was sent. When the
 * store reports that a lease has expired, a new one is requested: a new session, under which the record of every shard
 * has to be written again.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.MonotonicTime

/** The lease and record of one daemon; [template] gives the record's fields apart from session and state. */
class LeaseManager(
    private val template: DaemonRecord,
    private val settings: ShardSettings,
) {
    private var nextCallAt: MonotonicTime? = null
    private var inFlight = false
    private var pendingSession: Session? = null
    private var pendingUntil = MonotonicTime(Long.MIN_VALUE / 2)
    private var recordRevision = 0L
    private var writtenState: DaemonState? = null
    private var revoking = false

    /** The session whose record was written last; null before the first. */
    var session: Session? = null
        private set

    /** Time until which the lease of [session] is certainly valid. */
    var validUntil = pendingUntil
        private set

    /** Whether the lease of [session] is known to be gone, or there has been none. */
    var expired = true
        private set

    /** Whether the lease has been revoked. */
    var revoked = false
        private set

    /** State to publish in the daemon's record. */
    var state = DaemonState.SERVING

    /** This daemon in its present session. */
    val holder: LeaseHolder? get() = session?.let { LeaseHolder(template.id, it) }

    /** Whether the record of the present session has been written with [state]. */
    val stateWritten: Boolean get() = writtenState == state && !expired

    /** Whether the lease is valid at [now]. */
    fun valid(now: MonotonicTime) = !expired && now < validUntil

    /** Returns the next call, or null when none is due. */
    fun tick(now: MonotonicTime): StoreCall? {
        val due = nextCallAt.let { it == null || now >= it }
        if (inFlight || revoked || !due) return null
        inFlight = true
        val current = pendingSession
        return when {
            revoking && current != null -> StoreCall.RevokeLease(current)
            current == null -> StoreCall.GrantLease(settings.leaseMillis)
            now >= pendingUntil -> StoreCall.RenewLease(current)
            expired || writtenState != state -> StoreCall.WriteDaemon(record(current), recordRevision)
            else -> StoreCall.RenewLease(current)
        }
    }

    /** Makes the next call revoke the lease, if there is one. */
    fun revoke() {
        revoking = true
        nextCallAt = null
    }

    /** Makes the next call due at once, to write the record after a change of [state]. */
    fun expedite() {
        nextCallAt = null
    }

    /** Handles the answer to a call that [tick] returned. */
    fun handleAnswer(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ) {
        inFlight = false
        nextCallAt = now + RETRY_MILLIS
        when (val answer = event.answer) {
            is StoreAnswer.Granted -> granted(answer.session, event.sentAt)
            is StoreAnswer.Renewed -> if (answer.alive) renewed(event.sentAt) else expire()
            is StoreAnswer.Written -> recordWritten(event.call, answer.revision)
            is StoreAnswer.Conflict -> recordConflict(event.call, answer.current)
            StoreAnswer.Revoked -> revoked = true
            is StoreAnswer.Contents, StoreAnswer.Failed -> Unit
        }
    }

    private fun granted(
        session: Session,
        sentAt: MonotonicTime,
    ) {
        pendingSession = session
        recordRevision = 0
        extend(sentAt)
        nextCallAt = null
    }

    private fun renewed(sentAt: MonotonicTime) {
        extend(sentAt)
        nextCallAt = sentAt + settings.leaseMillis / RENEWALS_PER_LEASE
    }

    private fun extend(sentAt: MonotonicTime) {
        pendingUntil = sentAt + (settings.leaseMillis - settings.leaseMarginMillis)
        if (!expired) validUntil = pendingUntil
    }

    private fun expire() {
        pendingSession = null
        expired = true
        nextCallAt = null
    }

    private fun recordWritten(
        call: StoreCall,
        revision: Long,
    ) {
        if (call !is StoreCall.WriteDaemon || call.record.session != pendingSession) return
        recordRevision = revision
        writtenState = call.record.state
        expired = false
        session = pendingSession
        validUntil = pendingUntil
        nextCallAt = null
    }

    private fun recordConflict(
        call: StoreCall,
        current: ControlEntry?,
    ) {
        if (call !is StoreCall.WriteDaemon) return
        when {
            current is ControlEntry.OfDaemon && current.record == call.record -> recordWritten(call, current.revision)
            current is ControlEntry.OfDaemon -> recordRevision = current.revision
            else -> expire()
        }
    }

    private fun record(session: Session) = template.copy(session = session, state = state)

    private companion object {
        const val RENEWALS_PER_LEASE = 3
        const val RETRY_MILLIS = 1_000L
    }
}
