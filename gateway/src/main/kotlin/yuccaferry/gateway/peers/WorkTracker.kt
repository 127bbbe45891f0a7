// Work in progress at each target: this daemon's own, and the last reported by each peer.
package yuccaferry.gateway.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/** Tracks the work at all targets; confined to the event loop. */
internal class WorkTracker {
    private val own = HashMap<TargetId, MutableList<Work>>()
    private val peers = HashMap<String, PeerWork>()

    /** The peers' work by target, so that the totals at one target don't depend on the number of peers. */
    private val peersByTarget = HashMap<TargetId, MutableList<PeerTargetWork>>()

    /** Called after each change of this daemon's own work. */
    var onChange: (WorkChange) -> Unit = {}

    /** Share of the zone's daemons whose short prompts are known, including this one. */
    var knownShare = 1.0

    /** Whether the work of all daemons is known; otherwise only long prompts are known of most. */
    var isComplete = true

    /** Number of this daemon's entries of work at all targets. */
    var ownCount = 0
        private set

    private var ownLongCount = 0

    /** Adds [work] until it is passed to [end]. */
    fun begin(work: Work) {
        own.getOrPut(work.target) { mutableListOf() } += work
        count(work, 1)
    }

    /** Records that the prefill of [work] is complete. */
    fun markPrefilled(work: Work) {
        if (work.isPrefilled) return
        work.isPrefilled = true
        if (work.isLong) onChange(WorkChange.PREFILLED)
    }

    /** Removes [work], which may have been removed before. */
    fun end(work: Work) {
        val list = own[work.target] ?: return
        if (!list.remove(work)) return
        if (list.isEmpty()) own -= work.target
        count(work, -1)
    }

    /** Removes [work] of an attempt that was given up once the target must have noticed it. */
    fun endLater(
        work: Work,
        scope: CoroutineScope,
    ) {
        scope.launch {
            delay(ABANDONED_MILLIS)
            end(work)
        }
    }

    private fun count(
        work: Work,
        change: Int,
    ) {
        ownCount += change
        if (work.isLong) ownLongCount += change
        onChange(if (work.isLong) WorkChange.LONG else WorkChange.SHORT)
    }

    /** Whether the last work of a peer's current run is known, of which [message] is one. */
    fun knowsRunOf(message: WorkMessage): Boolean = peers[message.daemon]?.let { message.start <= it.start } == true

    /** Replaces a peer's work by [message], received at [now]; ignores a message that is not newer than the last one. */
    fun receive(
        message: WorkMessage,
        now: MonotonicTime,
    ) {
        val before = peers[message.daemon]
        if (before != null && message.start < before.start) return
        if (before != null && message.start == before.start && message.sequence <= before.sequence) return
        if (before == null) peers.values.filter { it.validUntil < now }.forEach { forget(it) } else forget(before)
        val work = PeerWork(message, now)
        peers[work.daemon] = work
        work.targets.forEach { peersByTarget.getOrPut(it.target) { ArrayList(1) } += it }
    }

    private fun forget(work: PeerWork) {
        peers -= work.daemon
        for (entry in work.targets) {
            val entries = peersByTarget[entry.target] ?: continue
            entries.remove(entry)
            if (entries.isEmpty()) peersByTarget -= entry.target
        }
    }

    /** Returns this daemon's own work in the form sent to peers. */
    fun ownWork(now: MonotonicTime): List<TargetWork> = own.map { (id, list) -> summarize(id, list, now) }

    /** Returns this daemon's long work in the form sent to peers. */
    fun ownLongWork(now: MonotonicTime): List<TargetWork> =
        if (ownLongCount == 0) {
            emptyList()
        } else {
            own.mapNotNull { (id, list) ->
                list
                    .filter { it.isLong }
                    .ifEmpty { null }
                    ?.let { summarize(id, it, now) }
            }
        }

    private fun summarize(
        target: TargetId,
        work: List<Work>,
        now: MonotonicTime,
    ) = TargetWork(
        target.value,
        work.size,
        work.sumOf { it.remainingPrefillMillis(now) }.toInt(),
        work.sumOf { it.tokens },
        work.count { it.isLong },
    )

    /** Returns the totals of all daemons' known work at [target]. */
    fun totalsAt(
        target: TargetId,
        now: MonotonicTime,
    ): WorkTotals {
        val mine = own[target].orEmpty()
        var active = mine.size
        var prefill = mine.sumOf { it.remainingPrefillMillis(now) }
        var held = mine.sumOf { it.tokens }
        var long = mine.count { it.isLong }
        for (entry in peersByTarget[target].orEmpty()) {
            if (entry.peer.validUntil < now) continue
            active += entry.work.active
            prefill += maxOf(0.0, entry.work.readingMillis - (now - entry.peer.receivedAt).toDouble())
            held += entry.work.heldTokens
            long += entry.work.longRequests
        }
        return WorkTotals(active, prefill, held, long)
    }

    /** Returns the estimated number of short requests of the zone's daemons: those that are known, scaled by [knownShare]. */
    fun shortRequests(now: MonotonicTime): Double {
        val known = ownCount - ownLongCount + peers.values.sumOf { if (it.validUntil < now) 0 else it.shortRequests }
        return known / knownShare
    }

    private class PeerWork(
        message: WorkMessage,
        val receivedAt: MonotonicTime,
    ) {
        val daemon = message.daemon
        val start = message.start
        val sequence = message.sequence
        val validUntil = receivedAt + message.validMillis.coerceIn(0, MAX_VALID_MILLIS)
        val targets = message.targets.map { PeerTargetWork(this, TargetId(it.target), it) }
        val shortRequests = message.targets.sumOf { it.active - it.longRequests }
    }

    private class PeerTargetWork(
        val peer: PeerWork,
        val target: TargetId,
        val work: TargetWork,
    )

    private companion object {
        /** Longest time in milliseconds for which a message counts, whatever it states. */
        const val MAX_VALID_MILLIS = 10_000L

        /** Milliseconds for which a target is assumed to work on a request after its connection was closed: several passes of an engine. */
        const val ABANDONED_MILLIS = 500L
    }
}
