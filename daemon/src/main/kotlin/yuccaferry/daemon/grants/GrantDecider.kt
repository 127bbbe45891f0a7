/*
 * Decides over the targets whose seats this daemon holds: answers asks from their books, and keeps the books
 * true by listing each target's work. Whether this daemon may decide is checked at each answer, after the time
 * that the answer's grant window is counted from.
 */
package yuccaferry.daemon.grants

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import yuccaferry.daemon.control.SeatTable
import yuccaferry.daemon.port.AskAnswer
import yuccaferry.daemon.port.AskRequest
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.GrantEffect
import yuccaferry.decisions.grants.Observation
import yuccaferry.decisions.grants.TargetBook
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.grants.TransferredGrant
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.seats.GRANT_WINDOW_MILLIS
import yuccaferry.decisions.seats.ShardId
import yuccaferry.model.Configuration
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.Target
import yuccaferry.model.TargetId

/** An ask is answered at the latest this long after the end of its wait. */
private const val ANSWER_MARGIN_MILLIS = 200L

/** Grants of the targets that this daemon decides over; safe for concurrent use. */
class GrantDecider(
    private val seats: () -> SeatTable,
    private val directory: TargetDirectory,
    private val configuration: () -> Configuration,
    private val isFresh: () -> Boolean,
    private val clock: Clock,
    private val telemetry: Telemetry,
) {
    private class Desk(
        val target: Target,
        val book: TargetBook,
    ) {
        val waiting = mutableMapOf<RequestId, CompletableDeferred<GrantEffect>>()
    }

    private val desks = mutableMapOf<TargetId, Desk>()

    /** Answers [request]; waits for room at most as long as it says. */
    suspend fun ask(request: AskRequest): AskAnswer {
        val arrived = clock.now()
        val target = directory.find(request.target) ?: return notDeciding()
        val answer = CompletableDeferred<GrantEffect>()
        val accepted = synchronized(desks) { submit(target, request, answer, arrived) }
        if (!accepted) return notDeciding()
        var effect: GrantEffect? = null
        try {
            effect = withTimeoutOrNull(request.waitMillis + ANSWER_MARGIN_MILLIS) { answer.await() }
        } finally {
            if (effect == null) forget(target, request.ask.request)
        }
        return answerOf(target, request, effect, arrived)
    }

    private fun submit(
        target: Target,
        request: AskRequest,
        answer: CompletableDeferred<GrantEffect>,
        now: MonotonicTime,
    ): Boolean {
        if (decidingEpoch(target) == null) return false
        val desk = deskOf(target) ?: return false
        desk.waiting[request.ask.request] = answer
        setInService(desk)
        perform(desk, desk.book.ask(request.ask, now, until = now + request.waitMillis))
        if (request.waitMillis == 0L) perform(desk, desk.book.tick(now))
        return true
    }

    /** Takes back an ask whose answer nobody waits for, and the grant if it was given meanwhile. */
    private fun forget(
        target: Target,
        request: RequestId,
    ) = synchronized(desks) {
        val desk = desks[target.id] ?: return
        desk.waiting.remove(request)
        desk.book.withdraw(request)
        perform(desk, desk.book.release(request, UseOutcome.UNUSED, clock.now()))
    }

    private fun answerOf(
        target: Target,
        request: AskRequest,
        effect: GrantEffect?,
        arrived: MonotonicTime,
    ): AskAnswer {
        val given = clock.now()
        val epoch = decidingEpoch(target)
        if (epoch == null) {
            forget(target, request.ask.request)
            return notDeciding()
        }
        val version = configuration().version
        val summary = summaryOf(target, given)
        return when (effect) {
            is GrantEffect.Give -> AskAnswer.Given(version, epoch, queuedMillis = given - arrived, summary)
            is GrantEffect.Deny -> AskAnswer.Denied(version, effect.denial, summary)
            null -> AskAnswer.Denied(version, Denial.FULL, summary)
        }
    }

    /** Takes a grant back; an unknown one is ignored. */
    fun release(notice: ReleaseNotice) =
        synchronized(desks) {
            val desk = desks[notice.target] ?: return
            setInService(desk)
            perform(desk, desk.book.release(notice.request, notice.outcome, clock.now()))
        }

    /** Targets that this daemon decides over at this moment. */
    fun decidedTargets(): List<Target> = directory.targets.filter { seats().mayDecide(it) != null }

    /** Records what [target] listed in answer to a question that was sent at [asked]; null when it did not answer. */
    fun observed(
        target: Target,
        observation: Observation?,
        asked: MonotonicTime,
    ) = synchronized(desks) {
        val desk = deskOf(target) ?: return
        setInService(desk)
        if (observation == null) {
            desk.book.unreachable()
        } else {
            perform(desk, desk.book.observe(observation, asked, clock.now()))
        }
    }

    /** Ends waits and grants whose time is over, and drops the books of targets that are gone. */
    fun tick() =
        synchronized(desks) {
            val now = clock.now()
            for (desk in desks.values) {
                setInService(desk)
                perform(desk, desk.book.tick(now))
            }
            desks.values.removeAll { directory.find(it.target.id) == null && it.book.summary(now).running == 0 }
        }

    /** The state of the targets that this daemon decides over. */
    fun summaries(): List<TargetSummary> {
        val now = clock.now()
        return synchronized(desks) { desks.values.filter { decidingEpoch(it.target) != null }.map { it.book.summary(now) } }
    }

    /** The grants of [shard] by target, for its next decider. */
    fun export(shard: ShardId): List<TargetGrants> =
        synchronized(desks) {
            desksOf(shard).map { TargetGrants(it.target.id, it.book.export(clock.now())) }
        }

    /** Takes over the grants of targets of a seat from its previous decider. */
    fun import(grants: List<TargetGrants>) =
        synchronized(desks) {
            for (entry in grants) {
                val target = directory.find(entry.target) ?: continue
                deskOf(target)?.book?.import(entry.grants, clock.now())
            }
        }

    /** Refuses all that waits for targets of [shard] and forgets their books. */
    fun lost(shard: ShardId) =
        synchronized(desks) {
            for (desk in desksOf(shard)) {
                perform(desk, desk.book.denyAll(Denial.UNAVAILABLE))
                desks.remove(desk.target.id)
            }
        }

    /** Targets of [shard], decided over or not. */
    fun targetsOf(shard: ShardId): List<Target> = directory.targets.filter { seats().seatOf(it) == shard }

    private fun desksOf(shard: ShardId) = desks.values.filter { seats().seatOf(it.target) == shard }

    private fun decidingEpoch(target: Target): Epoch? = if (isFresh()) seats().mayDecide(target) else null

    private fun deskOf(target: Target): Desk? {
        desks[target.id]?.let { return it }
        val limits = directory.limitsOf(target) ?: return null
        return Desk(target, TargetBook(target.id, limits, GRANT_WINDOW_MILLIS)).also { desks[target.id] = it }
    }

    private fun setInService(desk: Desk) {
        val deciding = decidingEpoch(desk.target) != null
        perform(desk, desk.book.setInService(deciding && directory.inService(desk.target)))
    }

    private fun perform(
        desk: Desk,
        effects: List<GrantEffect>,
    ) {
        for (effect in effects) {
            val answer = desk.waiting.remove(effect.request)
            if (effect is GrantEffect.Deny) count(desk, effect)
            answer?.complete(effect)
        }
    }

    private fun count(
        desk: Desk,
        effect: GrantEffect.Deny,
    ) = telemetry.count("yuccaferry.grants.denied", labels = arrayOf(Field("serves", desk.target.serves), Field("denial", effect.denial)))

    private fun summaryOf(
        target: Target,
        now: MonotonicTime,
    ): TargetSummary = synchronized(desks) { deskOf(target)?.book?.summary(now) ?: closedSummary(target) }

    private fun closedSummary(target: Target) =
        TargetSummary(target.id, 0, 0, room = 0, heldTokens = 0, prefillTokens = 0, longPrefills = 0, warm = false, open = false)

    private fun notDeciding() = AskAnswer.NotDeciding(configuration().version)
}

/** The grants of one target on their way to its next decider. */
@Serializable
data class TargetGrants(
    val target: TargetId,
    val grants: List<TransferredGrant>,
)
