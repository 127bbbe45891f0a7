/*
 * Collects one promise from a majority of a voter set and computes when every extension given before it has expired.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime

/** Collects the promise that [request] asks for from the members of [voterSet] until a majority has given it. */
internal class PromiseCollector(
    val request: PromiseRequest,
    val voterSet: VoterSet,
    private val settings: ShardSettings,
    startedAt: MonotonicTime,
) {
    private val extensionsExpireAt = HashMap<DaemonId, MonotonicTime>()
    private var nextRoundAt = startedAt
    private val emptySetFencedFrom = startedAt

    /** Time from which no extension can be valid any more; null until a majority has promised. The start time for an empty voter set. */
    val fencedFrom: MonotonicTime?
        get() = if (voterSet.majority == 0) emptySetFencedFrom else extensionsExpireAt.values.sorted().getOrNull(voterSet.majority - 1)

    /** Returns the calls to members that have not promised yet, once a round is due. */
    fun dueCalls(now: MonotonicTime): List<PeerCall.Promise> {
        if (fencedFrom != null || now < nextRoundAt) return emptyList()
        nextRoundAt = now + ROUND_MILLIS
        return voterSet.members.filter { it.id !in extensionsExpireAt }.map { PeerCall.Promise(it, request) }
    }

    /** Handles the answer of [member]; [answer] is null when it could not be reached. */
    fun handleAnswer(
        member: DaemonId,
        answer: PromiseAnswer?,
        now: MonotonicTime,
    ) {
        if (answer is PromiseAnswer.Promised) recordPromise(member, answer.remainingMillis, now)
    }

    /** Counts [member], which can't extend leases any more, as having promised. */
    fun countAsPromised(
        member: DaemonId,
        now: MonotonicTime,
    ) = recordPromise(member, remainingMillis = 0, now)

    private fun recordPromise(
        member: DaemonId,
        remainingMillis: Long,
        now: MonotonicTime,
    ) {
        val wait = if (remainingMillis > 0) remainingMillis + settings.extensionMarginMillis else 0
        extensionsExpireAt.putIfAbsent(member, now + wait)
    }

    private companion object {
        const val ROUND_MILLIS = 1_000L
    }
}
