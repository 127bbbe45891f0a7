/*
 * Decides grants for the targets whose shards this daemon holds. Each target has an allocator, which answers requests
 * and is corrected by observations of the target's work. Every answer checks whether this daemon may decide, after the
 * time from which the answer's grant window counts.
 */
package yuccaferry.daemon.grants

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.GrantAnswer
import yuccaferry.daemon.port.GrantRequest
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.GrantEffect
import yuccaferry.decisions.grants.Observation
import yuccaferry.decisions.grants.TargetAllocator
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.grants.TransferredGrant
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.shards.GRANT_WINDOW_MILLIS
import yuccaferry.decisions.shards.ShardId
import yuccaferry.model.Configuration
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.Target
import yuccaferry.model.TargetId

/** Longest time from the end of a request's wait to its answer. */
private const val ANSWER_MARGIN_MILLIS = 200L

/** Decides grants for the targets of the shards that this daemon holds; safe for concurrent use. */
class GrantDecider(
    private val shardTable: () -> ShardTable,
    private val directory: TargetDirectory,
    private val configuration: () -> Configuration,
    private val isFresh: () -> Boolean,
    private val clock: Clock,
    private val telemetry: Telemetry,
) {
    private class AllocatorState(
        val target: Target,
        val allocator: TargetAllocator,
    ) {
        val pending = mutableMapOf<RequestId, CompletableDeferred<GrantEffect>>()
    }

    private val states = mutableMapOf<TargetId, AllocatorState>()

    /** Answers [request]; waits for room at most as long as the request allows. */
    suspend fun requestGrant(request: GrantRequest): GrantAnswer {
        val receivedAt = clock.now()
        val target = directory.find(request.target) ?: return notDeciding()
        val answer = CompletableDeferred<GrantEffect>()
        val accepted = synchronized(states) { submit(target, request, answer, receivedAt) }
        if (!accepted) return notDeciding()
        var effect: GrantEffect? = null
        try {
            effect = withTimeoutOrNull(request.waitMillis + ANSWER_MARGIN_MILLIS) { answer.await() }
        } finally {
            if (effect == null) cancelRequest(target, request.allocation.id)
        }
        return answerOf(target, request, effect, receivedAt)
    }

    private fun submit(
        target: Target,
        request: GrantRequest,
        answer: CompletableDeferred<GrantEffect>,
        now: MonotonicTime,
    ): Boolean {
        if (decidingEpoch(target) == null) return false
        val state = stateOf(target) ?: return false
        state.pending[request.allocation.id] = answer
        setInService(state)
        applyEffects(state, state.allocator.request(request.allocation, now, until = now + request.waitMillis))
        if (request.waitMillis == 0L) applyEffects(state, state.allocator.tick(now))
        return true
    }

    /** Withdraws a request that no coroutine waits for any more, and releases its grant if it was granted meanwhile. */
    private fun cancelRequest(
        target: Target,
        request: RequestId,
    ) = synchronized(states) {
        val state = states[target.id] ?: return
        state.pending.remove(request)
        state.allocator.withdraw(request)
        applyEffects(state, state.allocator.release(request, UseOutcome.UNUSED, clock.now()))
    }

    private fun answerOf(
        target: Target,
        request: GrantRequest,
        effect: GrantEffect?,
        receivedAt: MonotonicTime,
    ): GrantAnswer {
        val answeredAt = clock.now()
        val epoch = decidingEpoch(target)
        if (epoch == null) {
            cancelRequest(target, request.allocation.id)
            return notDeciding()
        }
        val version = configuration().version
        val summary = summaryOf(target, answeredAt)
        return when (effect) {
            is GrantEffect.Grant -> GrantAnswer.Granted(version, epoch, queuedMillis = answeredAt - receivedAt, summary)
            is GrantEffect.Deny -> GrantAnswer.Denied(version, effect.denial, summary)
            null -> GrantAnswer.Denied(version, Denial.FULL, summary)
        }
    }

    /** Releases a grant; an unknown one is ignored. */
    fun release(notice: ReleaseNotice) =
        synchronized(states) {
            val state = states[notice.target] ?: return
            setInService(state)
            applyEffects(state, state.allocator.release(notice.request, notice.outcome, clock.now()))
        }

    /** Targets for which this daemon may decide at present. */
    fun decidedTargets(): List<Target> = directory.targets.filter { shardTable().mayDecide(it) != null }

    /** Records the [observation] of [target] that was requested at [requestedAt]; null when the target did not answer. */
    fun recordObservation(
        target: Target,
        observation: Observation?,
        requestedAt: MonotonicTime,
    ) = synchronized(states) {
        val state = stateOf(target) ?: return
        setInService(state)
        if (observation == null) {
            state.allocator.unreachable()
        } else {
            applyEffects(state, state.allocator.observe(observation, requestedAt, clock.now()))
        }
    }

    /** Ends expired waits and grants, and drops the allocators of targets that are no longer listed and have no running work. */
    fun tick() =
        synchronized(states) {
            val now = clock.now()
            for (state in states.values) {
                setInService(state)
                applyEffects(state, state.allocator.tick(now))
            }
            states.values.removeAll { directory.find(it.target.id) == null && it.allocator.summary(now).running == 0 }
        }

    /** Returns the summaries of the targets for which this daemon may decide. */
    fun summaries(): List<TargetSummary> {
        val now = clock.now()
        return synchronized(states) { states.values.filter { decidingEpoch(it.target) != null }.map { it.allocator.summary(now) } }
    }

    /** Returns the grants of [shard] by target, for its next holder. */
    fun export(shard: ShardId): List<TargetGrants> =
        synchronized(states) {
            statesOf(shard).map { TargetGrants(it.target.id, it.allocator.export(clock.now())) }
        }

    /** Takes over the grants of a shard's targets from the shard's previous holder. */
    fun import(grants: List<TargetGrants>) =
        synchronized(states) {
            for (entry in grants) {
                val target = directory.find(entry.target) ?: continue
                stateOf(target)?.allocator?.import(entry.grants, clock.now())
            }
        }

    /** Denies all requests that wait for targets of [shard] and drops the allocators of these targets. */
    fun dropShard(shard: ShardId) =
        synchronized(states) {
            for (state in statesOf(shard)) {
                applyEffects(state, state.allocator.denyAll(Denial.UNAVAILABLE))
                states.remove(state.target.id)
            }
        }

    /** Targets of [shard], whether or not this daemon holds it. */
    fun targetsOf(shard: ShardId): List<Target> = directory.targets.filter { shardTable().shardOf(it) == shard }

    private fun statesOf(shard: ShardId) = states.values.filter { shardTable().shardOf(it.target) == shard }

    private fun decidingEpoch(target: Target): Epoch? = if (isFresh()) shardTable().mayDecide(target) else null

    private fun stateOf(target: Target): AllocatorState? {
        states[target.id]?.let { return it }
        val limits = directory.limitsOf(target) ?: return null
        return AllocatorState(target, TargetAllocator(target.id, limits, GRANT_WINDOW_MILLIS)).also { states[target.id] = it }
    }

    private fun setInService(state: AllocatorState) {
        val deciding = decidingEpoch(state.target) != null
        applyEffects(state, state.allocator.setInService(deciding && directory.inService(state.target)))
    }

    private fun applyEffects(
        state: AllocatorState,
        effects: List<GrantEffect>,
    ) {
        for (effect in effects) {
            val answer = state.pending.remove(effect.request)
            if (effect is GrantEffect.Deny) countDenial(state, effect)
            answer?.complete(effect)
        }
    }

    private fun countDenial(
        state: AllocatorState,
        effect: GrantEffect.Deny,
    ) = telemetry.count("yuccaferry.grants.denied", labels = arrayOf(Field("serves", state.target.serves), Field("denial", effect.denial)))

    private fun summaryOf(
        target: Target,
        now: MonotonicTime,
    ): TargetSummary = synchronized(states) { stateOf(target)?.allocator?.summary(now) ?: closedSummary(target) }

    private fun closedSummary(target: Target) =
        TargetSummary(target.id, 0, 0, room = 0, heldTokens = 0, prefillTokens = 0, longPrefills = 0, warm = false, open = false)

    private fun notDeciding() = GrantAnswer.NotDeciding(configuration().version)
}

/** The grants of one target, transferred to the next holder of its shard. */
@Serializable
data class TargetGrants(
    val target: TargetId,
    val grants: List<TransferredGrant>,
)
