/*
 * Attested continuation as the holder sees it: which roster members attested, and until when a majority of them does.
 * Validity counts from before the question was sent.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime

/** Collects the attestations for one holder under one roster, read while the holder's lease was valid. */
class LeaseExtensionCollector(
    val holder: LeaseHolder,
    private val voterSet: VoterSet,
    private val settings: ShardSettings,
) {
    private val askedAt = HashMap<DaemonId, MonotonicTime>()
    private val unavailable = HashSet<DaemonId>()
    private val asking = HashSet<DaemonId>()
    private var roundAt: MonotonicTime? = null

    /** Members in the order in which this holder asks them; it differs between holders so that the load is even. */
    private val order = voterSet.members.sortedBy { weight(it.id.value, holder.daemon) }

    /** When the round that a majority has answered was asked for; null before the first. */
    val extendedAsOf: MonotonicTime?
        get() = if (voterSet.majority == 0) null else askedAt.values.sortedDescending().getOrNull(voterSet.majority - 1)

    /** Until when a majority attests; null before the first majority. */
    val extendedUntil: MonotonicTime? get() = extendedAsOf?.plus(settings.extensionMillis)

    /** Whether a new round of questions is due. */
    fun roundDue(now: MonotonicTime): Boolean = roundAt.let { it == null || now - it >= settings.extensionMillis / ROUNDS_PER_VALIDITY }

    /** Starts a round: asks as many members as make a majority, those that answered last time first. */
    fun startRound(
        configuration: ConfigurationVersion,
        now: MonotonicTime,
    ): List<PeerCall.ExtendLease> {
        roundAt = now
        asking.clear()
        val preferred = order.sortedBy { it.id in unavailable }
        return preferred.take(voterSet.majority).map { ask(it, configuration) }
    }

    /** Notes an answer; a member that didn't attest is replaced by one that hasn't been asked in this round. */
    fun answered(
        event: ShardEvent.LeaseExtensionAnswered,
        configuration: ConfigurationVersion,
    ): List<PeerCall.ExtendLease> {
        val member = event.call.member.id
        if (event.call.request.holder != holder || event.call.request.voterSetVersion != voterSet.version) return emptyList()
        if (event.answer is LeaseExtensionAnswer.Extended) {
            unavailable -= member
            askedAt.merge(member, event.sentAt, ::maxOf)
            return emptyList()
        }
        unavailable += member
        val next = order.firstOrNull { it.id !in asking } ?: return emptyList()
        return listOf(ask(next, configuration))
    }

    private fun ask(
        member: Voter,
        configuration: ConfigurationVersion,
    ): PeerCall.ExtendLease {
        asking += member.id
        return PeerCall.ExtendLease(member, LeaseExtensionRequest(holder, voterSet.version, configuration))
    }

    /** Whether this object is for [other] and [version]. */
    fun isFor(
        other: LeaseHolder,
        version: Long,
    ): Boolean = holder == other && voterSet.version == version

    private companion object {
        const val ROUNDS_PER_VALIDITY = 3
    }
}
