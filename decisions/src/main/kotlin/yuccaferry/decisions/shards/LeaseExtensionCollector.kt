/*
 * Lease extensions on the holder's side: which voters extended the lease, and until when a majority of them did.
 * Validity counts from before the request was sent.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime

/** Collects lease extensions for one holder from one voter set, which was read while the holder's lease was valid. */
class LeaseExtensionCollector(
    val holder: LeaseHolder,
    private val voterSet: VoterSet,
    private val settings: ShardSettings,
) {
    private val extensionSentAt = HashMap<DaemonId, MonotonicTime>()
    private val unavailable = HashSet<DaemonId>()
    private val asked = HashSet<DaemonId>()
    private var lastRoundAt: MonotonicTime? = null

    /** Voters in the order of requests; the order differs between holders to spread the load evenly. */
    private val memberOrder = voterSet.members.sortedBy { weight(it.id.value, holder.daemon) }

    /** Earliest send time among the newest extensions that make a majority; null before the first majority. */
    val extendedAsOf: MonotonicTime?
        get() = if (voterSet.majority == 0) null else extensionSentAt.values.sortedDescending().getOrNull(voterSet.majority - 1)

    /** End of the extension by a majority; null before the first majority. */
    val extendedUntil: MonotonicTime? get() = extendedAsOf?.plus(settings.extensionMillis)

    /** Whether a new round of requests is due. */
    fun roundDue(now: MonotonicTime): Boolean = lastRoundAt.let { it == null || now - it >= settings.extensionMillis / ROUNDS_PER_VALIDITY }

    /** Starts a round: returns requests to as many voters as make a majority; voters that last refused or failed come last. */
    fun startRound(
        configuration: ConfigurationVersion,
        now: MonotonicTime,
    ): List<PeerCall.ExtendLease> {
        lastRoundAt = now
        asked.clear()
        val preferred = memberOrder.sortedBy { it.id in unavailable }
        return preferred.take(voterSet.majority).map { ask(it, configuration) }
    }

    /** Handles an answer; a voter that didn't extend is replaced by one without a request in this round, if any is left. */
    fun handleAnswer(
        event: ShardEvent.LeaseExtensionAnswered,
        configuration: ConfigurationVersion,
    ): List<PeerCall.ExtendLease> {
        val member = event.call.member.id
        if (event.call.request.holder != holder || event.call.request.voterSetVersion != voterSet.version) return emptyList()
        if (event.answer is LeaseExtensionAnswer.Extended) {
            unavailable -= member
            extensionSentAt.merge(member, event.sentAt, ::maxOf)
            return emptyList()
        }
        unavailable += member
        val next = memberOrder.firstOrNull { it.id !in asked } ?: return emptyList()
        return listOf(ask(next, configuration))
    }

    private fun ask(
        member: Voter,
        configuration: ConfigurationVersion,
    ): PeerCall.ExtendLease {
        asked += member.id
        return PeerCall.ExtendLease(member, LeaseExtensionRequest(holder, voterSet.version, configuration))
    }

    /** Whether this collector is for the holder [other] and voter set [version]. */
    fun isFor(
        other: LeaseHolder,
        version: Long,
    ): Boolean = holder == other && voterSet.version == version

    private companion object {
        const val ROUNDS_PER_VALIDITY = 3
    }
}
