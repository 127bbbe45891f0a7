/*
 * What a roster member has attested and promised. An attestation lets a holder without a lease continue for a short
 * time; a promise never to attest again lets a claimant take the holder's seats once the attestations have run out.
 * As every majority that attests meets every majority that promises, both can't succeed for the same holder.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime

/** The attestations and promises of one daemon. */
class VoterState(
    private val settings: ShardSettings,
) {
    private val extendedUntil = HashMap<LeaseHolder, MonotonicTime>()
    private val promisedAway = HashSet<LeaseHolder>()
    private var promisedRoster = NO_ROSTER

    /** Answers a holder; [attestsUntil] is when this daemon stops attesting for want of a lease of its own. */
    fun extendLease(
        request: LeaseExtensionRequest,
        configuration: ConfigurationVersion,
        attestsUntil: MonotonicTime,
        now: MonotonicTime,
    ): LeaseExtensionAnswer {
        val reason =
            when {
                request.holder in promisedAway -> RefusalReason.PROMISED_AWAY
                spent(request.voterSetVersion) -> RefusalReason.STALE_ROSTER
                now >= attestsUntil -> RefusalReason.NOT_ATTESTING
                else -> null
            }
        if (reason != null) return LeaseExtensionAnswer.Refused(configuration, reason)
        extendedUntil[request.holder] = now + settings.extensionMillis
        return LeaseExtensionAnswer.Extended(configuration)
    }

    /**
     * Answers a claimant. A promise needs [seesReason]: that this daemon itself has read lately that the lease in
     * question is gone, or for a roster that it reaches the store. So a claimant that alone reaches the store can't
     * take the seats of a working majority.
     */
    fun promise(
        request: PromiseRequest,
        seesReason: Boolean,
        now: MonotonicTime,
    ): PromiseAnswer {
        extendedUntil.values.removeIf { it <= now }
        if (!seesReason) return PromiseAnswer.Refused(RefusalReason.REASON_NOT_SEEN)
        val remaining = remainingMillis(request, now)
        when (request) {
            is PromiseRequest.FenceHolder -> promisedAway += request.holder
            is PromiseRequest.FenceVoters -> promisedRoster = maxOf(promisedRoster, request.version)
        }
        return PromiseAnswer.Promised(remaining)
    }

    /** Whether this daemon has promised not to attest under roster [version]. */
    fun spent(version: Long): Boolean = version <= promisedRoster

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
        const val NO_ROSTER = -1L
    }
}
