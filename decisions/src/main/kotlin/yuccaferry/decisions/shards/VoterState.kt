/*
 * Lease extensions and promises that a voter has given. A lease extension lets a holder without a valid lease go on for
 * a short time. A promise never to extend again lets another daemon take over the holder's shards once the extensions
 * have expired. Any two majorities share a voter, so once a majority has fenced a holder, no majority can extend its lease.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime

/** Lease extensions and promises given by one daemon. */
class VoterState(
    private val settings: ShardSettings,
) {
    private val extendedUntil = HashMap<LeaseHolder, MonotonicTime>()
    private val fencedHolders = HashSet<LeaseHolder>()
    private var fencedVersion = NO_VERSION

    /**
     * Extends the lease of the requesting holder or refuses to.
     *
     * @param voterUntil time from which this daemon extends no lease: [ShardSettings.maxExtensionMillis] after the end of its own.
     */
    fun extendLease(
        request: LeaseExtensionRequest,
        configuration: ConfigurationVersion,
        voterUntil: MonotonicTime,
        now: MonotonicTime,
    ): LeaseExtensionAnswer {
        val reason =
            when {
                request.holder in fencedHolders -> RefusalReason.PROMISED_AWAY
                isFenced(request.voterSetVersion) -> RefusalReason.STALE_ROSTER
                now >= voterUntil -> RefusalReason.NOT_ATTESTING
                else -> null
            }
        if (reason != null) return LeaseExtensionAnswer.Refused(configuration, reason)
        extendedUntil[request.holder] = now + settings.extensionMillis
        return LeaseExtensionAnswer.Extended(configuration)
    }

    /**
     * Gives the requested promise or refuses it, and returns the remaining validity of the extensions given before.
     *
     * @param conditionObserved whether this daemon itself has recently read that the holder's lease is gone or, for a
     * voter set, has recently read from the store. Without it the promise is refused, so that a daemon that alone reaches
     * the store can't take over the shards of a working majority.
     */
    fun promise(
        request: PromiseRequest,
        conditionObserved: Boolean,
        now: MonotonicTime,
    ): PromiseAnswer {
        extendedUntil.values.removeIf { it <= now }
        if (!conditionObserved) return PromiseAnswer.Refused(RefusalReason.REASON_NOT_SEEN)
        val remaining = remainingMillis(request, now)
        when (request) {
            is PromiseRequest.FenceHolder -> fencedHolders += request.holder
            is PromiseRequest.FenceVoters -> fencedVersion = maxOf(fencedVersion, request.version)
        }
        return PromiseAnswer.Promised(remaining)
    }

    /** Whether this daemon has promised not to extend leases under voter set [version]. */
    fun isFenced(version: Long): Boolean = version <= fencedVersion

    private fun remainingMillis(
        request: PromiseRequest,
        now: MonotonicTime,
    ): Long {
        val until =
            when (request) {
                is PromiseRequest.FenceHolder -> extendedUntil[request.holder]
                is PromiseRequest.FenceVoters -> extendedUntil.values.maxOrNull()
            }
        return until?.let { it - now } ?: 0
    }

    private companion object {
        const val NO_VERSION = -1L
    }
}
