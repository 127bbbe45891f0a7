/*
 * Changes a region's voter set: first a majority of the present one promises never to extend leases under it again, then
 * the new one is written by compare-and-swap. A holder counts extensions only under a voter set that it read while its
 * lease was valid, so a holder that was cut off before the change can't extend its lease under either.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** Change of the voter set of [region], if one is in progress. */
internal class VoterSetReconfiguration(
    private val region: RegionName,
    private val settings: ShardSettings,
) {
    private var collector: PromiseCollector? = null
    private var write: StoreCall.WriteVoterSet? = null
    private var writeInFlight = false
    private var retryWriteAt = MonotonicTime(0)

    /**
     * Advances the change from the voter set of [view] to [desired].
     *
     * @param desired null when this daemon must not change the voter set now.
     * @param fenced whether this daemon has promised not to extend leases under the present set; such a set is replaced
     * even by one with the same members.
     */
    fun tick(
        view: ControlView,
        desired: List<Voter>?,
        fenced: Boolean,
        now: MonotonicTime,
    ): List<ShardEffect> {
        write?.let { return retryWrite(it, now) }
        val current = view.voterSet
        if (desired == null || (!fenced && desired.toSet() == current.voterSet.members.toSet())) {
            collector = null
            return emptyList()
        }
        val promises = collectorFor(current.voterSet, now)
        countLongAbsentVoters(promises, view, now)
        val fencedFrom = promises.fencedFrom ?: return promises.dueCalls(now)
        if (now < fencedFrom) return emptyList()
        val next = VoterSet(current.voterSet.version + 1, desired)
        val call = StoreCall.WriteVoterSet(region, next, current.revision)
        write = call
        writeInFlight = true
        return listOf(call)
    }

    /** Handles the answer to a promise request. */
    fun handlePromiseAnswer(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ) {
        val promises = collector ?: return
        if (promises.request == event.call.request) promises.handleAnswer(event.call.member.id, event.answer, now)
    }

    /** Handles the answer to the write; a write without an answer is repeated until its result is known. */
    fun handleWriteAnswer(
        event: ShardEvent.StoreAnswered,
        view: ControlView,
        now: MonotonicTime,
    ) {
        val call = write ?: return
        writeInFlight = false
        retryWriteAt = now + RETRY_MILLIS
        when (val answer = event.answer) {
            is StoreAnswer.Written -> view.applyEntry(ControlEntry.OfVoterSet(region, call.voterSet, answer.revision))
            is StoreAnswer.Conflict -> answer.current?.let(view::applyEntry)
            else -> return
        }
        write = null
        collector = null
    }

    private fun retryWrite(
        call: StoreCall.WriteVoterSet,
        now: MonotonicTime,
    ): List<ShardEffect> {
        if (writeInFlight || now < retryWriteAt) return emptyList()
        writeInFlight = true
        return listOf(call)
    }

    private fun collectorFor(
        voterSet: VoterSet,
        now: MonotonicTime,
    ): PromiseCollector {
        collector?.let { if (it.voterSet == voterSet) return it }
        return PromiseCollector(PromiseRequest.FenceVoters(voterSet.version), voterSet, settings, now).also { collector = it }
    }

    /**
     * Counts voters as having promised that have been absent for so long that they extend no lease any more and that their
     * earlier extensions have expired.
     */
    private fun countLongAbsentVoters(
        promises: PromiseCollector,
        view: ControlView,
        now: MonotonicTime,
    ) {
        val limit = settings.maxExtensionMillis + settings.leaseMillis + settings.extensionMillis
        val gone = promises.voterSet.members.filter { (view.absentMillis(it.id) ?: 0) > limit }
        gone.forEach { promises.countAsPromised(it.id, now) }
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
