/*
 * Acquires grants for this daemon's own callers: ranks targets by their last reported load and requests a grant from the holder of
 * each target's shard. When no target has room it waits in the queue of the best one, then ranks the targets again.
 */
package yuccaferry.daemon.grants

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.control.ShardHolder
import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.port.AccessRefusal
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.GangCandidate
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.GrantAnswer
import yuccaferry.daemon.port.GrantPeers
import yuccaferry.daemon.port.GrantRequest
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.decisions.grants.AllocationRequest
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.placement.Demand
import yuccaferry.decisions.placement.LengthClass
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.decisions.placement.lengthClass
import yuccaferry.decisions.shards.GRANT_WINDOW_MILLIS
import yuccaferry.model.AccountEntry
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Target
import yuccaferry.model.TargetId

/** Longest wait in one target's queue before targets are ranked again. */
private const val MAX_QUEUE_WAIT_MILLIS = 500L

/** Wait before targets are ranked again when none is eligible or none has a queue to wait in. */
private const val ROUND_PAUSE_MILLIS = 50L

/** Time for which a request waits for an eligible target, as the instance list and the configuration may differ for as long. */
private const val NO_TARGET_GRACE_MILLIS = 1_000L

/** Delays after each failed attempt to deliver a release notice, which is dropped after the last one. */
private val RELEASE_RETRY_MILLIS = listOf(200L, 1_000L, 3_000L)

/** Acquires grants from the holder of a target's shard: [decider] when that is [self], otherwise a peer. */
class ShardTargetAccess(
    private val self: DaemonId,
    private val shardTable: () -> ShardTable,
    private val directory: TargetDirectory,
    private val targetLoads: TargetLoads,
    private val policy: PlacementPolicy,
    private val decider: GrantDecider,
    private val peers: GrantPeers,
    private val configuration: () -> Configuration,
    private val onNewerConfiguration: suspend (ConfigurationVersion, Address) -> Unit,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val scope: CoroutineScope,
) : TargetAccess {
    override suspend fun acquire(
        demand: Demand,
        excluded: Set<TargetId>,
        deadline: MonotonicTime,
    ): Result<Grant, AccessRefusal> {
        val acquisition = Acquisition(demand, excluded, deadline)
        val started = clock.now()
        val result = acquisition.run()
        telemetry.time("yuccaferry.grant.wait", clock.now() - started, Field("class", demand.lengthClass), Field("granted", result.isOk))
        return result
    }

    override fun gangCandidates(
        demand: Demand,
        excluded: Set<TargetId>,
    ): List<GangCandidate> {
        val account = accountOf(demand) ?: return emptyList()
        return directory.targets
            .filter { it.serves == demand.serves && it.id !in excluded }
            .filter { directory.inService(it) && directory.serves(it, account) }
            .sortedBy { targetLoads.view(it.id)?.heldTokens ?: Long.MAX_VALUE }
            .map { GangCandidate(it, directory.limitsOf(it)?.kvTokens ?: 0) }
    }

    override suspend fun acquireOn(
        target: Target,
        demand: Demand,
        deadline: MonotonicTime,
    ): Result<Grant, AccessRefusal> {
        val acquisition = Acquisition(demand, emptySet(), deadline)
        return acquisition.runOn(target)?.let { Ok(it) } ?: Err(AccessRefusal.Full)
    }

    override fun release(
        grant: Grant,
        outcome: UseOutcome,
    ) {
        val notice = ReleaseNotice(grant.target.id, grant.request, outcome)
        scope.launch { deliverRelease(grant.target, notice) }
    }

    /** Sends [notice] to the present holder, which may have changed since the grant. */
    private suspend fun deliverRelease(
        target: Target,
        notice: ReleaseNotice,
    ) {
        for (delayMillis in RELEASE_RETRY_MILLIS) {
            val holder = shardTable().holderOf(target)
            if (holder != null) {
                if (holder.holder == self) return decider.release(notice)
                if (peers.release(holder.peer, notice).isOk) return
            }
            delay(delayMillis)
        }
    }

    private fun accountOf(demand: Demand) = configuration().file.accounts.firstOrNull { it.name == demand.account }

    private inner class Acquisition(
        private val demand: Demand,
        private val excluded: Set<TargetId>,
        private val deadline: MonotonicTime,
    ) {
        private val started = clock.now()

        suspend fun run(): Result<Grant, AccessRefusal> {
            while (clock.now() < deadline) {
                val account = accountOf(demand) ?: return Err(AccessRefusal.NoTarget)
                val ranked = targetLoads.rank(demand) { isEligible(it, account) }
                if (ranked.isEmpty()) {
                    if (clock.now() - started > NO_TARGET_GRACE_MILLIS) return Err(AccessRefusal.NoTarget)
                    delay(ROUND_PAUSE_MILLIS)
                    continue
                }
                val fitting = ranked.filter { fits(it) }
                if (fitting.isEmpty()) return Err(AccessRefusal.TooLarge(ranked.maxOf { capacity(it) }))
                val grant = tryTargets(fitting)
                if (grant != null) return Ok(grant)
            }
            return Err(AccessRefusal.Full)
        }

        /** Waits for a grant on [target] until the deadline. */
        suspend fun runOn(target: Target): Grant? {
            val answer = requestGrant(target, maxOf(0, deadline - clock.now()))
            return if (answer is GrantAnswer.Granted) grantOf(target, answer) else null
        }

        /** Requests a grant on each of [targets] in turn without waiting, then waits for the best one that is full. */
        private suspend fun tryTargets(targets: List<Target>): Grant? {
            var queueTarget: Target? = null
            for (target in targets) {
                when (val answer = requestGrant(target, waitMillis = 0)) {
                    is GrantAnswer.Granted -> return grantOf(target, answer)
                    is GrantAnswer.Denied -> if (answer.denial == Denial.FULL && queueTarget == null) queueTarget = target
                    is GrantAnswer.NotDeciding, null -> Unit
                }
            }
            if (queueTarget == null) {
                delay(minOf(ROUND_PAUSE_MILLIS, maxOf(0, deadline - clock.now())))
                return null
            }
            val answer = requestGrant(queueTarget, minOf(MAX_QUEUE_WAIT_MILLIS, maxOf(0, deadline - clock.now())))
            return if (answer is GrantAnswer.Granted) grantOf(queueTarget, answer) else null
        }

        private var sentAt = started

        private suspend fun requestGrant(
            target: Target,
            waitMillis: Long,
        ): GrantAnswer? {
            val holder = shardTable().holderOf(target) ?: return null
            sentAt = clock.now()
            val request = GrantRequest(target.id, allocationRequest(), waitMillis, configuration().version)
            val result = if (holder.holder == self) Ok(decider.requestGrant(request)) else peers.requestGrant(holder.peer, request)
            val answer = result.fold(success = { it }, failure = { return handleLostAnswer(target, it) })
            recordSummary(answer)
            return if (answer.configuration > request.configuration) handleNewerConfiguration(target, answer, holder) else answer
        }

        /** Handles an answer under a newer configuration: fetches that, releases the grant if any, and lets the caller try again. */
        private suspend fun handleNewerConfiguration(
            target: Target,
            answer: GrantAnswer,
            holder: ShardHolder,
        ): GrantAnswer? {
            onNewerConfiguration(answer.configuration, holder.peer)
            if (answer is GrantAnswer.Granted) deliverRelease(target, ReleaseNotice(target.id, demand.request, UseOutcome.UNUSED))
            return null
        }

        private fun recordSummary(answer: GrantAnswer) {
            when (answer) {
                is GrantAnswer.Granted -> targetLoads.update(answer.summary)
                is GrantAnswer.Denied -> targetLoads.update(answer.summary)
                is GrantAnswer.NotDeciding -> Unit
            }
        }

        /** Handles a lost answer: the request may have been granted, so it is released rather than left to expire. */
        private fun handleLostAnswer(
            target: Target,
            error: PeerError,
        ): GrantAnswer? {
            telemetry.count("yuccaferry.grant.asks.lost", labels = arrayOf(Field("error", error::class.simpleName)))
            scope.launch { deliverRelease(target, ReleaseNotice(target.id, demand.request, UseOutcome.UNUSED)) }
            return null
        }

        private fun grantOf(
            target: Target,
            answer: GrantAnswer.Granted,
        ) = Grant(demand.request, target, answer.epoch, useBy = sentAt + (answer.queuedMillis + GRANT_WINDOW_MILLIS))

        private fun allocationRequest() =
            AllocationRequest(
                id = demand.request,
                owner = self,
                account = demand.account,
                holdTokens = demand.heldTokens,
                prefillTokens = demand.promptTokens,
                long = demand.lengthClass == LengthClass.LONG,
                priority = policy.priorityOf(demand, clock.now() - started),
                weight = accountOf(demand)?.weight ?: 1,
                timeLeftMillis = deadline - clock.now(),
            )

        private fun isEligible(
            target: Target,
            account: AccountEntry,
        ) = target.id !in excluded && directory.inService(target) && directory.serves(target, account)

        private fun fits(target: Target) = capacity(target) >= demand.heldTokens

        private fun capacity(target: Target) = directory.limitsOf(target)?.kvTokens ?: 0
    }
}
