// Work at each target: this daemon's own, and what peers said last.
package yuccaferry.gateway.peers

import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/**
 * One request, or one part of a prompt, at a target.
 *
 * @property readMillis predicted time to read its prompt there.
 */
class Work(
    val target: TargetId,
    val tokens: Long,
    val isLong: Boolean,
    val readMillis: Double,
    private val start: MonotonicTime,
) {
    /** Whether the prompt has been read. */
    var isRead = false

    /** Predicted time until the prompt is read; never zero before it is, since reads that go ahead may have delayed it. */
    fun readingMillis(now: MonotonicTime): Double = if (isRead) 0.0 else maxOf(readMillis * LEAST_SHARE_LEFT, readMillis - (now - start))

    private companion object {
        /** Share of a read time that is left at least while the prompt has not been read. */
        const val LEAST_SHARE_LEFT = 0.2
    }
}

/** Sums of the work at one target. */
class TargetSum(
    val active: Int,
    val readingMillis: Double,
    val heldTokens: Long,
    val longRequests: Int,
)

/** Work at all targets; confined to the event loop. */
class WorkBoard {
    private val own = HashMap<TargetId, MutableList<Work>>()
    private val peers = HashMap<String, PeerWork>()

    /** Called after each change of this daemon's own work; true when peers need it soon. */
    var onChange: (urgent: Boolean) -> Unit = {}

    /** Requests of this daemon at targets. */
    val ownCount: Int get() = own.values.sumOf { it.size }

    /** Records [work] until [end]. */
    fun begin(work: Work) {
        own.getOrPut(work.target) { mutableListOf() } += work
        onChange(work.isLong)
    }

    /** Records that the prompt of [work] has been read. */
    fun markRead(work: Work) {
        if (work.isRead) return
        work.isRead = true
        if (work.isLong) onChange(false)
    }

    /** Forgets [work]. */
    fun end(work: Work) {
        val list = own[work.target] ?: return
        list -= work
        if (list.isEmpty()) own -= work.target
        onChange(work.isLong)
    }

    /** Takes what a peer said at [now]; older messages of the same run are dropped. */
    fun hear(
        message: WorkMessage,
        now: MonotonicTime,
    ) {
        val before = peers[message.daemon]
        if (before != null && message.start < before.start) return
        if (before != null && message.start == before.start && message.sequence <= before.sequence) return
        peers[message.daemon] = PeerWork(message.start, message.sequence, now, message.targets.associateBy { TargetId(it.target) })
    }

    /** This daemon's own work as a peer hears it. */
    fun ownWork(now: MonotonicTime): List<TargetWork> =
        own.map { (id, list) ->
            TargetWork(
                id.value,
                list.size,
                list.sumOf { it.readingMillis(now) }.toInt(),
                list.sumOf { it.tokens },
                list.count { it.isLong },
            )
        }

    /** The sum of all daemons' work at [target]. */
    fun sumAt(
        target: TargetId,
        now: MonotonicTime,
    ): TargetSum {
        val mine = own[target].orEmpty()
        var active = mine.size
        var reading = mine.sumOf { it.readingMillis(now) }
        var held = mine.sumOf { it.tokens }
        var long = mine.count { it.isLong }
        for (peer in peers.values) {
            val age = now - peer.heard
            if (age > PEER_EXPIRY_MILLIS) continue
            val work = peer.targets[target] ?: continue
            active += work.active
            reading += maxOf(0.0, work.readingMillis - age.toDouble())
            held += work.heldTokens
            long += work.longRequests
        }
        return TargetSum(active, reading, held, long)
    }

    private class PeerWork(
        val start: Long,
        val sequence: Long,
        val heard: MonotonicTime,
        val targets: Map<TargetId, TargetWork>,
    )

    private companion object {
        /** Milliseconds after which a silent peer's work is taken as ended: three of its refresh intervals. */
        const val PEER_EXPIRY_MILLIS = 1_500L
    }
}
