/*
 * Takeover of the shards of holders whose lease is gone: reads the voter set after the lease was observed gone, collects
 * promises from a majority of it, and waits until all lease extensions given before have expired.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** Takeovers in progress on one daemon, one for each holder. */
internal class TakeoverTracker(
    private val region: RegionName,
    private val settings: ShardSettings,
) {
    private val takeovers = HashMap<LeaseHolder, Takeover>()
    private var readInFlight = false

    /** Advances the takeovers from [holders], starts missing ones and drops all others. */
    fun tick(
        holders: Set<LeaseHolder>,
        view: ControlView,
        now: MonotonicTime,
    ): List<ShardEffect> {
        takeovers.keys.retainAll(holders)
        holders.forEach { takeovers.getOrPut(it) { Takeover(now) } }
        val effects = ArrayList<ShardEffect>()
        for ((holder, takeover) in takeovers) effects += advance(holder, takeover, view, now)
        if (takeovers.values.any { it.promises == null } && !readInFlight) {
            readInFlight = true
            effects += StoreCall.ReadVoterSet(region)
        }
        return effects
    }

    /** Whether a majority has fenced [holder] and no lease extension of it can be valid at [now]. */
    fun isFenced(
        holder: LeaseHolder,
        now: MonotonicTime,
    ): Boolean = takeovers[holder]?.promises?.fencedFrom.let { it != null && it <= now }

    /** Starts to collect promises under the voter set that [event] has read; [view] already contains it. */
    fun handleVoterSetRead(
        event: ShardEvent.StoreAnswered,
        view: ControlView,
        now: MonotonicTime,
    ) {
        readInFlight = false
        if (event.answer !is StoreAnswer.Contents) return
        for ((holder, takeover) in takeovers) {
            if (takeover.promises == null && event.sentAt >= takeover.startedAt) takeover.promises = newCollector(holder, view, now)
        }
    }

    /** Handles the answer to a promise request. */
    fun handlePromiseAnswer(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ) {
        val request = event.call.request as? PromiseRequest.FenceHolder ?: return
        takeovers[request.holder]?.promises?.handleAnswer(event.call.member.id, event.answer, now)
    }

    private fun advance(
        holder: LeaseHolder,
        takeover: Takeover,
        view: ControlView,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val promises = takeover.promises ?: return emptyList()
        if (promises.fencedFrom == null && promises.voterSet != view.voterSet.voterSet) takeover.promises = newCollector(holder, view, now)
        return takeover.promises?.dueCalls(now).orEmpty()
    }

    private fun newCollector(
        holder: LeaseHolder,
        view: ControlView,
        now: MonotonicTime,
    ) = PromiseCollector(PromiseRequest.FenceHolder(holder), view.voterSet.voterSet, settings, now)

    private class Takeover(
        val startedAt: MonotonicTime,
    ) {
        var promises: PromiseCollector? = null
    }
}
