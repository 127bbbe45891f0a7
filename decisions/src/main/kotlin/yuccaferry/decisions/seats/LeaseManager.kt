/*
 * Keeps one lease and the daemon's record under it. A lease counts from before its grant or renewal was sent. When the
 * store says that a lease has lapsed, a new one is taken: a new session, under which every seat must be written anew.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.MonotonicTime

/** The lease and record of one daemon; [template] gives the record's fields apart from session and state. */
class LeaseManager(
    private val template: DaemonRecord,
    private val settings: ShardSettings,
) {
    private var nextCallAt: MonotonicTime? = null
    private var inFlight = false
    private var candidate: Session? = null
    private var candidateUntil = MonotonicTime(Long.MIN_VALUE / 2)
    private var recordRevision = 0L
    private var writtenState: DaemonState? = null
    private var revoking = false

    /** The session whose record was written last; null before the first. */
    var session: Session? = null
        private set

    /** Until when the lease of [session] is certainly valid. */
    var validUntil = candidateUntil
        private set

    /** Whether the lease of [session] is known to be gone, or there has been none. */
    var lapsed = true
        private set

    /** Whether the lease has been given up. */
    var revoked = false
        private set

    /** State that the daemon's record shall show. */
    var state = DaemonState.SERVING

    /** This daemon in its present session. */
    val holder: LeaseHolder? get() = session?.let { LeaseHolder(template.id, it) }

    /** Whether the record of the present session has been replaced by one that shows [state]. */
    val stateWritten: Boolean get() = writtenState == state && !lapsed

    /** Whether the lease is valid at [now]. */
    fun valid(now: MonotonicTime) = !lapsed && now < validUntil

    /** The next call that is due, if any. */
    fun tick(now: MonotonicTime): StoreCall? {
        val due = nextCallAt.let { it == null || now >= it }
        if (inFlight || revoked || !due) return null
        inFlight = true
        val current = candidate
        return when {
            revoking && current != null -> StoreCall.RevokeLease(current)
            current == null -> StoreCall.GrantLease(settings.leaseMillis)
            now >= candidateUntil -> StoreCall.RenewLease(current)
            lapsed || writtenState != state -> StoreCall.WriteDaemon(record(current), recordRevision)
            else -> StoreCall.RenewLease(current)
        }
    }

    /** Gives the lease up. */
    fun revoke() {
        revoking = true
        nextCallAt = null
    }

    /** Writes the record at once after a change of [state]. */
    fun hurry() {
        nextCallAt = null
    }

    /** Notes an answer to a call of [tick]. */
    fun answered(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ) {
        inFlight = false
        nextCallAt = now + RETRY_MILLIS
        when (val answer = event.answer) {
            is StoreAnswer.Granted -> granted(answer.session, event.sentAt)
            is StoreAnswer.Renewed -> if (answer.alive) renewed(event.sentAt) else lapse()
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
        candidate = session
        recordRevision = 0
        extend(sentAt)
        nextCallAt = null
    }

    private fun renewed(sentAt: MonotonicTime) {
        extend(sentAt)
        nextCallAt = sentAt + settings.leaseMillis / RENEWALS_PER_LEASE
    }

    private fun extend(sentAt: MonotonicTime) {
        candidateUntil = sentAt + (settings.leaseMillis - settings.leaseMarginMillis)
        if (!lapsed) validUntil = candidateUntil
    }

    private fun lapse() {
        candidate = null
        lapsed = true
        nextCallAt = null
    }

    private fun recordWritten(
        call: StoreCall,
        revision: Long,
    ) {
        if (call !is StoreCall.WriteDaemon || call.record.session != candidate) return
        recordRevision = revision
        writtenState = call.record.state
        lapsed = false
        session = candidate
        validUntil = candidateUntil
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
            else -> lapse()
        }
    }

    private fun record(session: Session) = template.copy(session = session, state = state)

    private companion object {
        const val RENEWALS_PER_LEASE = 3
        const val RETRY_MILLIS = 1_000L
    }
}
