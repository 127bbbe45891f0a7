/*
 * Shard control of one daemon as a state machine that turns events into effects. It has no clock and makes no calls, so
 * that a test can run many of them in one process with simulated time and faults.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime

/** State machine of one daemon; [template] is its record, whose session and state are replaced as they change. */
class ShardStateMachine(
    private val template: DaemonRecord,
    private val settings: ShardSettings,
) {
    private val region = template.region
    private val view = ControlView(region)
    private val lease = LeaseManager(template, settings)
    private val voterState = VoterState(settings)
    private val reconciler = ShardReconciler(template, settings, view, lease)
    private val reconfiguration = VoterSetReconfiguration(region, settings)
    private val reader = ControlReader(region, settings, view)
    private var leaseExtension: LeaseExtensionCollector? = null
    private var configuration = ConfigurationVersion.NONE
    private var lastAnswerAt: MonotonicTime? = null
    private var leaveRequestedAt: MonotonicTime? = null
    private var left = false
    private var published: ShardSnapshot? = null
    private var publishedVersion = -1L

    /** Newest configuration version in a message from a voter or a holder. */
    var requiredConfigurationVersion = ConfigurationVersion.NONE
        private set

    /** Known records of daemons, shards and voter sets. */
    val control: ControlView get() = view

    /** Earliest send time among the newest lease extensions that make a majority; null before the first majority. */
    val extendedAsOf: MonotonicTime? get() = leaseExtension?.extendedAsOf

    /** Shards for which this daemon may act; a new object after each event that changes them. */
    fun snapshot(): ShardSnapshot {
        val validity = lease.holder?.let { LeaseValidity(it, lease.validUntil.takeUnless { lease.expired }, extendedUntil()) }
        val known = published
        if (known != null && known.validity == validity && publishedVersion == reconciler.version) return known
        publishedVersion = reconciler.version
        return ShardSnapshot(validity, reconciler.acting()).also { published = it }
    }

    /** Sets the configuration version in force on this daemon, which its messages to voters and holders state. */
    fun setConfigurationInForce(version: ConfigurationVersion) {
        configuration = version
    }

    /** Handles one event at [now] and returns the effects that the caller has to perform. */
    fun handle(
        event: ShardEvent,
        now: MonotonicTime,
    ): List<ShardEffect> =
        when (event) {
            ShardEvent.Tick -> tick(now)
            ShardEvent.Leave -> leave(now)
            is ShardEvent.StoreAnswered -> storeAnswered(event, now)
            is ShardEvent.LeaseExtensionAnswered -> leaseExtensionAnswered(event, now)
            is ShardEvent.PromiseAnswered -> promiseAnswered(event, now)
            is ShardEvent.HandOverAnswered -> reconciler.handleHandOverAnswer(event, now)
            is ShardEvent.HandOverReceived -> reconciler.handleHandOver(event, now)
            is ShardEvent.GrantsReady -> emptyList<ShardEffect>().also { reconciler.handleGrantsReady(event) }
        }

    /** Answers a request for a lease extension. */
    fun extendLease(
        request: LeaseExtensionRequest,
        now: MonotonicTime,
    ): LeaseExtensionAnswer {
        raiseRequiredVersion(request.configuration)
        return voterState.extendLease(request, configuration, voterUntil(), now)
    }

    /** Answers a request for a promise. */
    fun promise(
        request: PromiseRequest,
        now: MonotonicTime,
    ): PromiseAnswer {
        val maxAgeMillis = RECENT_READ_INTERVALS * settings.fullReadIntervalMillis(view.regionSize)
        val observed =
            when (request) {
                is PromiseRequest.FenceHolder -> view.leaseGone(request.holder, maxAgeMillis, now)
                is PromiseRequest.FenceVoters -> view.fullReadWithin(maxAgeMillis, now)
            }
        if (!observed) reader.expediteDaemonRead()
        return voterState.promise(request, observed, now)
    }

    private fun tick(now: MonotonicTime): List<ShardEffect> {
        if (left) return emptyList()
        val effects = ArrayList<ShardEffect>()
        lease.tick(now)?.let { effects += it }
        effects += reader.tick(now)
        effects += requestLeaseExtensions(now)
        effects += reconciler.tick(now)
        effects += reconfiguration.tick(view, desiredVoters(now), voterState.isFenced(view.voterSet.voterSet.version), now)
        if (mayLeave(now)) lease.revoke()
        return answerOwnCalls(effects, now)
    }

    private fun leave(now: MonotonicTime): List<ShardEffect> {
        leaveRequestedAt = leaveRequestedAt ?: now
        lease.state = DaemonState.LEAVING
        lease.expedite()
        return tick(now)
    }

    /** A daemon that leaves hands its shards over first; as a voter it also waits, for a limited time, until it is replaced. */
    private fun mayLeave(now: MonotonicTime): Boolean {
        val since = leaveRequestedAt ?: return false
        if (!reconciler.empty) return false
        if (!lease.valid(now)) return true
        val replaced = template.id !in view.voterSet.voterSet || now - since >= VOTER_EXIT_MILLIS
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
                lease.handleAnswer(event, now)
                if (lease.revoked) effects += markLeft()
            }

            is StoreCall.ReadControl, is StoreCall.ReadDaemons -> {
                reader.handleAnswer(event, now)
                adoptVoterSet(now)
            }

            is StoreCall.ReadVoterSet -> {
                (event.answer as? StoreAnswer.Contents)?.entries?.forEach(view::applyEntry)
                reconciler.handleVoterSetRead(event, now)
            }

            is StoreCall.WriteShard -> {
                effects += reconciler.handleWriteAnswer(event, now)
            }

            is StoreCall.WriteVoterSet -> {
                reconfiguration.handleWriteAnswer(event, view, now)
            }
        }
        return effects + tick(now)
    }

    private fun markLeft(): List<ShardEffect> {
        if (left) return emptyList()
        left = true
        return listOf(ShardEffect.Left)
    }

    /** Starts to collect lease extensions under the present voter set; it counts only if read while the lease was valid. */
    private fun adoptVoterSet(now: MonotonicTime) {
        val holder = lease.holder ?: return
        if (!lease.valid(now)) return
        val current = view.voterSet.voterSet
        if (leaseExtension?.isFor(holder, current.version) != true) leaseExtension = LeaseExtensionCollector(holder, current, settings)
    }

    private fun requestLeaseExtensions(now: MonotonicTime): List<ShardEffect> {
        val collector = leaseExtension ?: return emptyList()
        val allowedMillis = settings.pollIntervalMillis(view.fleetSize) + settings.storeOverdueMillis
        val storeOverdue = lastAnswerAt.let { it == null || now - it > allowedMillis }
        if (!storeOverdue && lease.valid(now)) return emptyList()
        if (!collector.roundDue(now)) return emptyList()
        return collector.startRound(configuration, now)
    }

    private fun leaseExtensionAnswered(
        event: ShardEvent.LeaseExtensionAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        event.answer?.let { raiseRequiredVersion(it.configuration) }
        return answerOwnCalls(leaseExtension?.handleAnswer(event, configuration).orEmpty(), now)
    }

    private fun promiseAnswered(
        event: ShardEvent.PromiseAnswered,
        now: MonotonicTime,
    ): List<ShardEffect> {
        reconfiguration.handlePromiseAnswer(event, now)
        reconciler.handlePromiseAnswer(event, now)
        return tick(now)
    }

    /** Answers the calls that this daemon makes to itself as a voter. */
    private fun answerOwnCalls(
        effects: List<ShardEffect>,
        now: MonotonicTime,
    ): List<ShardEffect> =
        effects.flatMap { effect ->
            when {
                effect is PeerCall.ExtendLease && effect.member.id == template.id -> {
                    val answer = extendLease(effect.request, now)
                    leaseExtensionAnswered(ShardEvent.LeaseExtensionAnswered(effect, now, answer), now)
                }

                effect is PeerCall.Promise && effect.member.id == template.id -> {
                    promiseAnswered(ShardEvent.PromiseAnswered(effect, promise(effect.request, now)), now)
                }

                else -> {
                    listOf(effect)
                }
            }
        }

    /** The members of the voter set to write; null unless this daemon is the one that maintains it. */
    private fun desiredVoters(now: MonotonicTime): List<Voter>? {
        val serving = view.serving()
        val members = view.voterSet.voterSet.members
        val maintainers = serving.filter { it.id in view.voterSet.voterSet }.ifEmpty { serving }
        val maintainer = maintainers.maxByOrNull { weight(MAINTAINER_KEY, it.id) }
        if (maintainer?.id != template.id || !lease.valid(now) || !reader.complete) return null
        val kept = members.filter { isRetained(it) }
        val zones = kept.mapNotNull { view.daemon(it.id) }.associate { it.id to it.zone }
        return selectVoters(serving, kept, zones, settings.maxVoters)
    }

    private fun isRetained(member: Voter): Boolean {
        val record = view.daemon(member.id)
        if (record != null) return record.state == DaemonState.SERVING
        return (view.absentMillis(member.id) ?: 0) < settings.voterGraceMillis
    }

    private fun extendedUntil(): MonotonicTime? = leaseExtension?.takeIf { it.holder == lease.holder }?.extendedUntil

    private fun voterUntil(): MonotonicTime = if (left) MonotonicTime(Long.MIN_VALUE) else lease.validUntil + settings.maxExtensionMillis

    private fun raiseRequiredVersion(version: ConfigurationVersion) {
        requiredConfigurationVersion = maxOf(requiredConfigurationVersion, version)
    }

    private companion object {
        const val RECENT_READ_INTERVALS = 2
        const val VOTER_EXIT_MILLIS = 5_000L
        const val MAINTAINER_KEY = "maintainer"
    }
}
