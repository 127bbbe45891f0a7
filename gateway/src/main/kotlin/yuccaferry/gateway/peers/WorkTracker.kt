// Work in progress at each target: this daemon's own, and the last reported by each peer.
package yuccaferry.gateway.peers

import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/**
 * One request, or one part of a prompt, in progress at a target.
 *
 * @property tokens tokens of memory that it takes there.
 * @property isLong whether the prompt is long.
 * @property prefillMillis predicted duration of the prompt's prefill there.
 */
class Work(
    val target: TargetId,
    val tokens: Long,
    val isLong: Boolean,
    val prefillMillis: Double,
    private val start: MonotonicTime,
) {
    /** Whether the prefill is complete. */
    var isPrefilled = false

    /** Predicted time until the prefill is complete; above zero until then, because earlier prefills may have delayed this one. */
    fun remainingPrefillMillis(now: MonotonicTime): Double =
        if (isPrefilled) 0.0 else maxOf(prefillMillis * MIN_REMAINING_SHARE, prefillMillis - (now - start))

    private companion object {
        /** Smallest share of the predicted time that is assumed to remain until the prefill is complete. */
        const val MIN_REMAINING_SHARE = 0.2
    }
}

/** Totals of the work at one target. */
class WorkTotals(
    val active: Int,
    val remainingPrefillMillis: Double,
    val heldTokens: Long,
    val longRequests: Int,
)

/** Tracks the work at all targets; confined to the event loop. */
class WorkTracker {
    private val own = HashMap<TargetId, MutableList<Work>>()
    private val peers = HashMap<String, PeerWork>()

    /** Called after each change of this daemon's own work; the argument is true if peers need the change soon. */
    var onChange: (urgent: Boolean) -> Unit = {}

    /** Number of this daemon's entries of work at all targets. */
    val ownCount: Int get() = own.values.sumOf { it.size }

    /** Adds [work] until it is passed to [end]. */
    fun begin(work: Work) {
        own.getOrPut(work.target) { mutableListOf() } += work
        onChange(work.isLong)
    }

    /** Records that the prefill of [work] is complete. */
    fun markPrefilled(work: Work) {
        if (work.isPrefilled) return
        work.isPrefilled = true
        if (work.isLong) onChange(false)
    }

    /** Removes [work], which may have been removed before. */
    fun end(work: Work) {
        val list = own[work.target] ?: return
        list -= work
        if (list.isEmpty()) own -= work.target
        onChange(work.isLong)
    }

    /** Replaces a peer's work by [message], received at [now]; ignores a message that is not newer than the last one. */
    fun receive(
        message: WorkMessage,
        now: MonotonicTime,
    ) {
        val before = peers[message.daemon]
        if (before != null && message.start < before.start) return
        if (before != null && message.start == before.start && message.sequence <= before.sequence) return
        peers[message.daemon] = PeerWork(message.start, message.sequence, now, message.targets.associateBy { TargetId(it.target) })
    }

    /** Returns this daemon's own work in the form sent to peers. */
    fun ownWork(now: MonotonicTime): List<TargetWork> =
        own.map { (id, list) ->
            TargetWork(
                id.value,
                list.size,
                list.sumOf { it.remainingPrefillMillis(now) }.toInt(),
                list.sumOf { it.tokens },
                list.count { it.isLong },
            )
        }

    /** Returns the totals of all daemons' work at [target]. */
    fun totalsAt(
        target: TargetId,
        now: MonotonicTime,
    ): WorkTotals {
        val mine = own[target].orEmpty()
        var active = mine.size
        var prefill = mine.sumOf { it.remainingPrefillMillis(now) }
        var held = mine.sumOf { it.tokens }
        var long = mine.count { it.isLong }
        for (peer in peers.values) {
            val age = now - peer.receivedAt
            if (age > PEER_EXPIRY_MILLIS) continue
            val work = peer.targets[target] ?: continue
            active += work.active
            prefill += maxOf(0.0, work.readingMillis - age.toDouble())
            held += work.heldTokens
            long += work.longRequests
        }
        return WorkTotals(active, prefill, held, long)
    }

    private class PeerWork(
        val start: Long,
        val sequence: Long,
        val receivedAt: MonotonicTime,
        val targets: Map<TargetId, TargetWork>,
    )

    private companion object {
        /** Milliseconds after a peer's last message at which its work is no longer counted: three of its send intervals. */
        const val PEER_EXPIRY_MILLIS = 1_500L
    }
}
