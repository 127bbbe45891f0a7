/*
 * Claims on the seats of holders whose lease is gone: reads the roster after the lease was seen gone, collects the
 * promises of a majority, and waits until the attestations given before have run out.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** The claims in progress of one daemon, one for each holder. */
internal class TakeoverTracker(
    private val region: RegionName,
    private val settings: ShardSettings,
) {
    private val claims = HashMap<LeaseHolder, Takeover>()
    private var readInFlight = false

    /** Continues the claims on [holders], starts those that are new and forgets all others. */
    fun tick(
        holders: Set<LeaseHolder>,
        view: ControlView,
        now: MonotonicTime,
    ): List<ShardEffect> {
        claims.keys.retainAll(holders)
        holders.forEach { claims.getOrPut(it) { Takeover(now) } }
        val effects = ArrayList<ShardEffect>()
        for ((holder, claim) in claims) effects += advance(holder, claim, view, now)
        if (claims.values.any { it.promises == null } && !readInFlight) {
            readInFlight = true
            effects += StoreCall.ReadVoterSet(region)
        }
        return effects
    }

    /** Whether [holder] can't act any more at [now], as far as attestations go. */
    fun fenced(
        holder: LeaseHolder,
        now: MonotonicTime,
    ): Boolean = claims[holder]?.promises?.fencedFrom.let { it != null && it <= now }

    /** Notes the roster read by [event], which [view] has taken in. */
    fun voterSetRead(
        event: ShardEvent.StoreAnswered,
        view: ControlView,
        now: MonotonicTime,
    ) {
        readInFlight = false
        if (event.answer !is StoreAnswer.Contents) return
        for ((holder, claim) in claims) {
            if (claim.promises == null && event.sentAt >= claim.startedAt) claim.promises = collection(holder, view, now)
        }
    }

    /** Notes a promise. */
    fun promised(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ) {
        val request = event.call.request as? PromiseRequest.FenceHolder ?: return
        claims[request.holder]?.promises?.answered(event.call.member.id, event.answer, now)
    }

    private fun advance(
        holder: LeaseHolder,
        claim: Takeover,
        view: ControlView,
        now: MonotonicTime,
    ): List<ShardEffect> {
        val promises = claim.promises ?: return emptyList()
        if (promises.fencedFrom == null && promises.voterSet != view.voterSet.voterSet) claim.promises = collection(holder, view, now)
        return claim.promises?.round(now).orEmpty()
    }

    private fun collection(
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
