/*
 * The control of seats of one daemon: turns events into effects. It has no clock and makes no calls, so that many of
 * them can run in one process with a test's own time and faults.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime

/** One daemon; [template] is its record, whose session and state are replaced as they change. */
class SeatNode(
    private val template: DaemonRecord,
    private val settings: SeatSettings,
) {
    private val region = template.region
    private val view = ControlView(region)
    private val lease = LeaseKeeper(template, settings)
    private val book = AttestationBook(settings)
    private val seating = Seating(template, settings, view, lease)
    private val roster = RosterKeeper(region, settings)
    private val reader = ControlReader(region, settings, view)
    private var continuation: Continuation? = null
    private var configuration = ConfigurationVersion.NONE
    private var lastAnswerAt: MonotonicTime? = null
    private var leaveAt: MonotonicTime? = null
    private var left = false
    private var published: SeatSnapshot? = null
    private var publishedHoldings = -1L

    /** Newest configuration version that an attester or a holder stated. */
    var requiredConfigurationVersion = ConfigurationVersion.NONE
        private set

    /** What is known of daemons, seats and rosters. */
    val control: ControlView get() = view

    /** When the newest round that a majority has attested was asked for. */
    val attestedAsOf: MonotonicTime? get() = continuation?.attestedAsOf

    /** What this daemon may do; made anew after events that change it. */
    fun snapshot(): SeatSnapshot {
        val right = lease.holder?.let { SeatRight(it, lease.validUntil.takeUnless { lease.lapsed }, attestedUntil()) }
        val known = published
        if (known != null && known.right == right && publishedHoldings == seating.version) return known
        publishedHoldings = seating.version
        return SeatSnapshot(right, seating.acting()).also { published = it }
    }

    /** Sets the version in force on this daemon, which its attestations state. */
    fun configurationInForce(version: ConfigurationVersion) {
        configuration = version
    }

    /** Handles one event at [now]. */
    fun handle(
        event: SeatEvent,
        now: MonotonicTime,
    ): List<SeatEffect> =
        when (event) {
            SeatEvent.Tick -> tick(now)
            SeatEvent.Leave -> leave(now)
            is SeatEvent.StoreAnswered -> storeAnswered(event, now)
            is SeatEvent.AttestationAnswered -> attestationAnswered(event, now)
            is SeatEvent.PromiseAnswered -> promiseAnswered(event, now)
            is SeatEvent.HandOverAnswered -> seating.handedOver(event, now)
            is SeatEvent.HandOverReceived -> seating.offered(event, now)
            is SeatEvent.GrantsReady -> emptyList<SeatEffect>().also { seating.ready(event) }
        }

    /** Answers a holder that asks for an attestation. */
    fun attest(
        request: AttestationRequest,
        now: MonotonicTime,
    ): AttestationAnswer {
        require(request.configuration)
        return book.attest(request, configuration, attestsUntil(), now)
    }

    /** Answers a claimant or a change of the roster. */
    fun promise(
        request: PromiseRequest,
        now: MonotonicTime,
    ): PromiseAnswer {
        val fresh = FRESH_READS * settings.fullReadIntervalMillis(view.regionSize)
        val sees =
            when (request) {
                is PromiseRequest.Against -> view.leaseGone(request.holder, fresh, now)
                is PromiseRequest.RosterUpTo -> view.readWithin(fresh, now)
            }
        if (!sees) reader.hurry()
        return book.promise(request, sees, now)
    }

    private fun tick(now: MonotonicTime): List<SeatEffect> {
        if (left) return emptyList()
        val effects = ArrayList<SeatEffect>()
        lease.tick(now)?.let { effects += it }
        effects += reader.tick(now)
        effects += askAttestations(now)
        effects += seating.tick(now)
        effects += roster.tick(view, desiredRoster(now), book.spent(view.roster.roster.version), now)
        if (mayLeave(now)) lease.revoke()
        return answerOwn(effects, now)
    }

    private fun leave(now: MonotonicTime): List<SeatEffect> {
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
        val replaced = template.id !in view.roster.roster || now - since >= ROSTER_EXIT_MILLIS
        return lease.stateWritten && replaced
    }

    private fun storeAnswered(
        event: SeatEvent.StoreAnswered,
        now: MonotonicTime,
    ): List<SeatEffect> {
        if (event.answer != StoreAnswer.Failed) lastAnswerAt = lastAnswerAt?.let { maxOf(it, event.sentAt) } ?: event.sentAt
        val effects = ArrayList<SeatEffect>()
        when (event.call) {
            is StoreCall.GrantLease, is StoreCall.RenewLease, is StoreCall.RevokeLease, is StoreCall.WriteDaemon -> {
                lease.answered(event, now)
                if (lease.revoked) effects += markLeft()
            }

            is StoreCall.ReadControl, is StoreCall.ReadDaemons -> {
                reader.answered(event, now)
                enrol(now)
            }

            is StoreCall.ReadRoster -> {
                (event.answer as? StoreAnswer.Contents)?.entries?.forEach(view::note)
                seating.rosterRead(event, now)
            }

            is StoreCall.WriteSeat -> {
                effects += seating.written(event, now)
            }

            is StoreCall.WriteRoster -> {
                roster.written(event, view, now)
            }
        }
        return effects + tick(now)
    }

    private fun markLeft(): List<SeatEffect> {
        if (left) return emptyList()
        left = true
        return listOf(SeatEffect.Left)
    }

    /** Attestations count under a roster only if it was read while the lease was valid. */
    private fun enrol(now: MonotonicTime) {
        val holder = lease.holder ?: return
        if (!lease.valid(now)) return
        val current = view.roster.roster
        if (continuation?.isFor(holder, current.version) != true) continuation = Continuation(holder, current, settings)
    }

    private fun askAttestations(now: MonotonicTime): List<SeatEffect> {
        val asker = continuation ?: return emptyList()
        val patience = settings.pollIntervalMillis(view.fleetSize) + settings.silenceMillis
        val silent = lastAnswerAt.let { it == null || now - it > patience }
        if (!silent && lease.valid(now)) return emptyList()
        if (!asker.roundDue(now)) return emptyList()
        return asker.startRound(configuration, now)
    }

    private fun attestationAnswered(
        event: SeatEvent.AttestationAnswered,
        now: MonotonicTime,
    ): List<SeatEffect> {
        event.answer?.let { require(it.configuration) }
        return answerOwn(continuation?.answered(event, configuration).orEmpty(), now)
    }

    private fun promiseAnswered(
        event: SeatEvent.PromiseAnswered,
        now: MonotonicTime,
    ): List<SeatEffect> {
        roster.promised(event, now)
        seating.promised(event, now)
        return tick(now)
    }

    /** Answers at once what this daemon asks of itself as a roster member. */
    private fun answerOwn(
        effects: List<SeatEffect>,
        now: MonotonicTime,
    ): List<SeatEffect> =
        effects.flatMap { effect ->
            when {
                effect is PeerCall.Attest && effect.member.id == template.id -> {
                    val answer = attest(effect.request, now)
                    attestationAnswered(SeatEvent.AttestationAnswered(effect, now, answer), now)
                }

                effect is PeerCall.Promise && effect.member.id == template.id -> {
                    promiseAnswered(SeatEvent.PromiseAnswered(effect, promise(effect.request, now)), now)
                }

                else -> {
                    listOf(effect)
                }
            }
        }

    /** The roster that this daemon should write; null unless it is the one to do so. */
    private fun desiredRoster(now: MonotonicTime): List<RosterMember>? {
        val serving = view.serving()
        val members = view.roster.roster.members
        val maintainers = serving.filter { it.id in view.roster.roster }.ifEmpty { serving }
        val maintainer = maintainers.maxByOrNull { weight(MAINTAINER_KEY, it.id) }
        if (maintainer?.id != template.id || !lease.valid(now) || !reader.complete) return null
        val kept = members.filter { keeps(it) }
        val zones = kept.mapNotNull { view.daemon(it.id) }.associate { it.id to it.zone }
        return chooseRoster(serving, kept, zones, settings.rosterSize)
    }

    private fun keeps(member: RosterMember): Boolean {
        val record = view.daemon(member.id)
        if (record != null) return record.state == DaemonState.SERVING
        return (view.absentMillis(member.id) ?: 0) < settings.rosterGraceMillis
    }

    private fun attestedUntil(): MonotonicTime? = continuation?.takeIf { it.holder == lease.holder }?.attestedUntil

    private fun attestsUntil(): MonotonicTime =
        if (left) MonotonicTime(Long.MIN_VALUE) else lease.validUntil + settings.continuationLimitMillis

    private fun require(version: ConfigurationVersion) {
        requiredConfigurationVersion = maxOf(requiredConfigurationVersion, version)
    }

    private companion object {
        const val FRESH_READS = 2
        const val ROSTER_EXIT_MILLIS = 5_000L
        const val MAINTAINER_KEY = "maintainer"
    }
}
