/*
 * Collects the same promise from a majority of a roster and tells when every attestation given before it has run out.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime

/** Asks the members of [voterSet] for [request] until a majority has promised. */
internal class PromiseCollector(
    val request: PromiseRequest,
    val voterSet: VoterSet,
    private val settings: ShardSettings,
    startedAt: MonotonicTime,
) {
    private val voidFrom = HashMap<DaemonId, MonotonicTime>()
    private var nextRoundAt = startedAt
    private val emptyFrom = startedAt

    /** From when no attestation can be valid any more; null until a majority has promised. */
    val fencedFrom: MonotonicTime?
        get() = if (voterSet.majority == 0) emptyFrom else voidFrom.values.sorted().getOrNull(voterSet.majority - 1)

    /** Calls to members that have not promised yet, once a round is due. */
    fun round(now: MonotonicTime): List<PeerCall.Promise> {
        if (fencedFrom != null || now < nextRoundAt) return emptyList()
        nextRoundAt = now + ROUND_MILLIS
        return voterSet.members.filter { it.id !in voidFrom }.map { PeerCall.Promise(it, request) }
    }

    /** Notes the answer of [member]. */
    fun answered(
        member: DaemonId,
        answer: PromiseAnswer?,
        now: MonotonicTime,
    ) {
        if (answer is PromiseAnswer.Promised) promised(member, answer.remainingMillis, now)
    }

    /** Counts [member], which can't attest any more, as having promised. */
    fun excuse(
        member: DaemonId,
        now: MonotonicTime,
    ) = promised(member, remainingMillis = 0, now)

    private fun promised(
        member: DaemonId,
        remainingMillis: Long,
        now: MonotonicTime,
    ) {
        val wait = if (remainingMillis > 0) remainingMillis + settings.extensionMarginMillis else 0
        voidFrom.putIfAbsent(member, now + wait)
    }

    private companion object {
        const val ROUND_MILLIS = 1_000L
    }
}
