/*
 * Changes a region's roster: first a majority of the present one promises never to attest under it again, then the new
 * one is written by compare-and-swap. A holder counts attestations only under a roster that it read while its lease
 * was valid, so a holder that was cut off before the change can't continue under either.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** The change in progress, if any, of the roster of [region]. */
internal class VoterSetReconfiguration(
    private val region: RegionName,
    private val settings: ShardSettings,
) {
    private var collection: PromiseCollector? = null
    private var write: StoreCall.WriteVoterSet? = null
    private var writeInFlight = false
    private var writeAt = MonotonicTime(0)

    /**
     * Goes on with the change from the roster of [view] to [desired], which is null when this daemon doesn't change it now.
     * A roster under which members have promised not to attest is [spent]: it is replaced even by the same members.
     */
    fun tick(
        view: ControlView,
        desired: List<Voter>?,
        spent: Boolean,
        now: MonotonicTime,
    ): List<ShardEffect> {
        write?.let { return retryWrite(it, now) }
        val current = view.voterSet
        if (desired == null || (!spent && desired.toSet() == current.voterSet.members.toSet())) {
            collection = null
            return emptyList()
        }
        val promises = collectionFor(current.voterSet, now)
        excuseLongAbsent(promises, view, now)
        val fencedFrom = promises.fencedFrom ?: return promises.round(now)
        if (now < fencedFrom) return emptyList()
        val next = VoterSet(current.voterSet.version + 1, desired)
        val call = StoreCall.WriteVoterSet(region, next, current.revision)
        write = call
        writeInFlight = true
        return listOf(call)
    }

    /** Notes a promise. */
    fun promised(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ) {
        val promises = collection ?: return
        if (promises.request == event.call.request) promises.answered(event.call.member.id, event.answer, now)
    }

    /** Notes the answer to the write; a lost one is repeated until it is known. */
    fun written(
        event: ShardEvent.StoreAnswered,
        view: ControlView,
        now: MonotonicTime,
    ) {
        val call = write ?: return
        writeInFlight = false
        writeAt = now + RETRY_MILLIS
        when (val answer = event.answer) {
            is StoreAnswer.Written -> view.note(ControlEntry.OfVoterSet(region, call.voterSet, answer.revision))
            is StoreAnswer.Conflict -> answer.current?.let(view::note)
            else -> return
        }
        write = null
        collection = null
    }

    private fun retryWrite(
        call: StoreCall.WriteVoterSet,
        now: MonotonicTime,
    ): List<ShardEffect> {
        if (writeInFlight || now < writeAt) return emptyList()
        writeInFlight = true
        return listOf(call)
    }

    private fun collectionFor(
        voterSet: VoterSet,
        now: MonotonicTime,
    ): PromiseCollector {
        collection?.let { if (it.voterSet == voterSet) return it }
        return PromiseCollector(PromiseRequest.FenceVoters(voterSet.version), voterSet, settings, now).also { collection = it }
    }

    /** A member without a lease for longer than the continuation limit attests for nobody. */
    private fun excuseLongAbsent(
        promises: PromiseCollector,
        view: ControlView,
        now: MonotonicTime,
    ) {
        val limit = settings.maxExtensionMillis + settings.leaseMillis + settings.extensionMillis
        val gone = promises.voterSet.members.filter { (view.absentMillis(it.id) ?: 0) > limit }
        gone.forEach { promises.excuse(it.id, now) }
    }

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
