/*
 * The control of seats of one daemon: turns events into effects. It has no clock and makes no calls, so that many of
 * them can run in one process with a test's own time and faults.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime

/** One daemon; [template] is its record, whose session and state are replaced as they change. */
class ShardStateMachine(
    private val template: DaemonRecord,
    private val settings: ShardSettings,
) {
    private val region = template.region
    private val view = ControlView(region)
    private val lease = LeaseManager(template, settings)
    private val book = VoterState(settings)
    private val seating = ShardReconciler(template, settings, view, lease)
    private val voterSet = VoterSetReconfiguration(region, settings)
    private val reader = ControlReader(region, settings, view)
    private var continuation: LeaseExtensionCollector? = null
    private var configuration = ConfigurationVersion.NONE
    private var lastAnswerAt: MonotonicTime? = null
    private var leaveAt: MonotonicTime? = null
    private var left = false
    private var published: ShardSnapshot? = null
    private var publishedHoldings = -1L

    /** Newest configuration version that an attester or a holder stated. */
    var requiredConfigurationVersion = ConfigurationVersion.NONE
        private set

    /** What is known of daemons, seats and rosters. */
    val control: ControlView get() = view

    /** When the newest round that a majority has attested was asked for. */
    val extendedAsOf: MonotonicTime? get() = continuation?.extendedAsOf

    /** What this daemon may do; made anew after events that change it. */
    fun snapshot(): ShardSnapshot {
        val validity = lease.holder?.let { LeaseValidity(it, lease.validUntil.takeUnless { lease.lapsed }, extendedUntil()) }
        val known = published
        if (known != null && known.validity == validity && publishedHoldings == seating.version) return known
        publishedHoldings = seating.version
        return ShardSnapshot(validity, seating.acting()).also { published = it }
    }

    /** Sets the version in force on this daemon, which its attestations state. */
    fun configurationInForce(version: ConfigurationVersion) {
        configuration = version
    }

    /** Handles one event at [now]. */
    fun handle(
        event: ShardEvent,
        now: MonotonicTime,
    ): List<ShardEffect> =
        when (event) {
            ShardEvent.Tick -> tick(now)
            ShardEvent.Leave -> leave(now)
            is ShardEvent.StoreAnswered -> storeAnswered(event, now)
            is ShardEvent.LeaseExtensionAnswered -> attestationAnswered(event, now)
            is ShardEvent.PromiseAnswered -> promiseAnswered(event, now)
            is ShardEvent.HandOverAnswered -> seating.handedOver(event, now)
            is ShardEvent.HandOverReceived -> seating.offered(event, now)
            is ShardEvent.GrantsReady -> emptyList<ShardEffect>().also { seating.ready(event) }
        }

    /** Answers a holder that asks for an attestation. */
    fun extendLease(
        request: LeaseExtensionRequest,
        now: MonotonicTime,
    ): LeaseExtensionAnswer {
        require(request.configuration)
        return book.extendLease(request, configuration, attestsUntil(), now)
    }

    /** Answers a claimant or a change of the roster. */
    fun promise(
        request: PromiseRequest,
        now: MonotonicTime,
    ): PromiseAnswer {
        val fresh = FRESH_READS * settings.fullReadIntervalMillis(view.regionSize)
        val sees =
            when (request) {
                is PromiseRequest.FenceHolder -> view.leaseGone(request.holder, fresh, now)
                is PromiseRequest.FenceVoters -> view.readWithin(fresh, now)
            }
        if (!sees) reader.hurry()
        return book.promise(request, sees, now)
    }

    private fun tick(now: MonotonicTime): List<ShardEffect> {
        if (left) return emptyList()
        val effects = ArrayList<ShardEffect>()
        lease.tick(now)?.let { effects += it }
        effects += reader.tick(now)
        effects += askAttestations(now)
        effects += seating.tick(now)
        effects += voterSet.tick(view, desiredVoters(now), book.spent(view.voterSet.voterSet.version), now)
        if (mayLeave(now)) lease.revoke()
        return answerOwn(effects, now)
    }

    private fun leave(now: MonotonicTime): List<ShardEffect> {
        leaveAt = leaveAt ?: now
        lease.state = DaemonState.LEAVING
        lease.hurry()
        return tick(now)
    }

    /** A leaver first gives its seats away; as a roster member it also waits a while to be replaced. */
    private fun mayLeave(now: MonotonicTime): Boolean {
        val since = leaveAt ?: return false
        if (!seating.empty) return false
        if (!lease.valid(now)) return true
        val replaced = template.id !in view.voterSet.voterSet || now - since >= ROSTER_EXIT_MILLIS
        return lease.stateWritten && replaced
    }

    private fun storeAnswered(
        event: ShardEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        if (event.answer != StoreAnswer.Failed) lastAnswerAt = lastAnswerAt?.let { maxOf(it, event.sentAt) } ?: event.sentAt
        val effects = ArrayList<ShardEffect>()
        when (event.call) {
            is StoreCall.GrantLease, is StoreCall.RenewLease, is StoreCall.RevokeLease, is StoreCall.WriteDaemon -> {
                lease.answered(event, now)
                if (lease.revoked) effects += markLeft()
            }

            is StoreCall.ReadControl, is StoreCall.ReadDaemons -> {
                reader.answered(event, now)
                enrol(now)
            }

            is StoreCall.ReadVoterSet -> {
                (event.answer as? StoreAnswer.Contents)?.entries?.forEach(view::note)
                seating.voterSetRead(event, now)
            }

            is StoreCall.WriteShard -> {
                effects += seating.written(event, now)
            }

            is StoreCall.WriteVoterSet -> {
                voterSet.written(event, view, now)
            }
        }
        return effects + tick(now)
    }

    private fun markLeft(): List<ShardEffect> {
        if (left) return emptyList()
        left = true
        return listOf(ShardEffect.Left)
    }

    /** Attestations count under a roster only if it was read while the lease was valid. */
    private fun enrol(now: MonotonicTime) {
        val holder = lease.holder ?: return
        if (!lease.valid(now)) return
        val current = view.voterSet.voterSet
        if (continuation?.isFor(holder, current.version) != true) continuation = LeaseExtensionCollector(holder, current, settings)
    }

    private fun askAttestations(now: MonotonicTime): List<ShardEffect> {
        val asker = continuation ?: return emptyList()
        val patience = settings.pollIntervalMillis(view.fleetSize) + settings.storeOverdueMillis
        val silent = lastAnswerAt.let { it == null || now - it > patience }
        if (!silent && lease.valid(now)) return emptyList()
        if (!asker.roundDue(now)) return emptyList()
        return asker.startRound(configuration, now)
    }

    private fun attestationAnswered(
        event: ShardEvent.LeaseExtensionAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        event.answer?.let { require(it.configuration) }
        return answerOwn(continuation?.answered(event, configuration).orEmpty(), now)
    }

    private fun promiseAnswered(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        voterSet.promised(event, now)
        seating.promised(event, now)
        return tick(now)
    }

    /** Answers at once what this daemon asks of itself as a roster member. */
    private fun answerOwn(
        effects: List<ShardEffect>,
        now: MonotonicTime,
    ): List<ShardEffect> =
        effects.flatMap { effect ->
            when {
                effect is PeerCall.ExtendLease && effect.member.id == template.id -> {
                    val answer = extendLease(effect.request, now)
                    attestationAnswered(ShardEvent.LeaseExtensionAnswered(effect, now, answer), now)
                }

                effect is PeerCall.Promise && effect.member.id == template.id -> {
                    promiseAnswered(ShardEvent.PromiseAnswered(effect, promise(effect.request, now)), now)
                }

                else -> {
                    listOf(effect)
                }
            }
        }

    /** The roster that this daemon should write; null unless it is the one to do so. */
    private fun desiredVoters(now: MonotonicTime): List<Voter>? {
        val serving = view.serving()
        val members = view.voterSet.voterSet.members
        val maintainers = serving.filter { it.id in view.voterSet.voterSet }.ifEmpty { serving }
        val maintainer = maintainers.maxByOrNull { weight(MAINTAINER_KEY, it.id) }
        if (maintainer?.id != template.id || !lease.valid(now) || !reader.complete) return null
        val kept = members.filter { keeps(it) }
        val zones = kept.mapNotNull { view.daemon(it.id) }.associate { it.id to it.zone }
        return selectVoters(serving, kept, zones, settings.rosterSize)
    }

    private fun keeps(member: Voter): Boolean {
        val record = view.daemon(member.id)
        if (record != null) return record.state == DaemonState.SERVING
        return (view.absentMillis(member.id) ?: 0) < settings.voterGraceMillis
    }

    private fun extendedUntil(): MonotonicTime? = continuation?.takeIf { it.holder == lease.holder }?.extendedUntil

    private fun attestsUntil(): MonotonicTime = if (left) MonotonicTime(Long.MIN_VALUE) else lease.validUntil + settings.maxExtensionMillis

    private fun require(version: ConfigurationVersion) {
        requiredConfigurationVersion = maxOf(requiredConfigurationVersion, version)
    }

    private companion object {
        const val FRESH_READS = 2
        const val ROSTER_EXIT_MILLIS = 5_000L
        const val MAINTAINER_KEY = "maintainer"
    }
}
