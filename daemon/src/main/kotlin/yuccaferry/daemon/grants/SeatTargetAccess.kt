/*
 * Gets the right to use targets for this daemon's own callers: ranks targets by what is known of their load, and
 * asks the holder of each one's seat. When none has room it waits in the queue of the best one, then ranks anew.
 */
package yuccaferry.daemon.grants

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.control.SeatTable
import yuccaferry.daemon.control.SeatView
import yuccaferry.daemon.port.AccessRefusal
import yuccaferry.daemon.port.AskAnswer
import yuccaferry.daemon.port.AskRequest
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Grant
import yuccaferry.daemon.port.GrantPeers
import yuccaferry.daemon.port.PartTarget
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.daemon.port.TargetAccess
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.decisions.grants.Ask
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.placement.Demand
import yuccaferry.decisions.placement.LengthClass
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.decisions.placement.lengthClass
import yuccaferry.decisions.seats.GRANT_WINDOW_MILLIS
import yuccaferry.model.AccountEntry
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Target
import yuccaferry.model.TargetId

/** Longest wait in one target's queue before targets are ranked anew. */
private const val QUEUE_MILLIS = 500L

/** Wait before the next round when no holder could be asked. */
private const val ROUND_PAUSE_MILLIS = 50L

/** The instance list and the configuration may lag this far behind each other. */
private const val NO_TARGET_GRACE_MILLIS = 1_000L

private val RELEASE_RETRY_MILLIS = listOf(200L, 1_000L, 3_000L)

/** Where to send asks, and what this daemon must know to send them. */
class SeatTargetAccess(
    private val self: DaemonId,
    private val seats: () -> SeatTable,
    private val directory: TargetDirectory,
    private val board: LoadBoard,
    private val policy: PlacementPolicy,
    private val decider: GrantDecider,
    private val peers: GrantPeers,
    private val configuration: () -> Configuration,
    private val heardVersion: suspend (ConfigurationVersion, Address) -> Unit,
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

    override fun partTargets(
        demand: Demand,
        excluded: Set<TargetId>,
    ): List<PartTarget> {
        val account = accountOf(demand) ?: return emptyList()
        return directory.targets
            .filter { it.serves == demand.serves && it.id !in excluded }
            .filter { directory.inService(it) && directory.serves(it, account) }
            .sortedBy { board.view(it.id)?.heldTokens ?: Long.MAX_VALUE }
            .map { PartTarget(it, directory.limitsOf(it)?.kvTokens ?: 0) }
    }

    override suspend fun acquireOn(
        target: Target,
        demand: Demand,
        deadline: MonotonicTime,
    ): Result<Grant, AccessRefusal> {
        val acquisition = Acquisition(demand, emptySet(), deadline)
        return acquisition.on(target)?.let { Ok(it) } ?: Err(AccessRefusal.Full)
    }

    override fun release(
        grant: Grant,
        outcome: UseOutcome,
    ) {
        val notice = ReleaseNotice(grant.target.id, grant.request, outcome)
        scope.launch { deliver(grant.target, notice) }
    }

    /** The holder may have changed since the grant; the present one is told. */
    private suspend fun deliver(
        target: Target,
        notice: ReleaseNotice,
    ) {
        for (pause in RELEASE_RETRY_MILLIS) {
            val holder = seats().holderOf(target)
            if (holder != null) {
                if (holder.holder == self) return decider.release(notice)
                if (peers.release(holder.peer, notice).isOk) return
            }
            delay(pause)
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
                val ranked = board.rank(demand) { isEligible(it, account) }
                if (ranked.isEmpty()) {
                    if (clock.now() - started > NO_TARGET_GRACE_MILLIS) return Err(AccessRefusal.NoTarget)
                    delay(ROUND_PAUSE_MILLIS)
                    continue
                }
                val fitting = ranked.filter { fits(it) }
                if (fitting.isEmpty()) return Err(AccessRefusal.TooLarge(ranked.maxOf { capacity(it) }))
                val grant = round(fitting)
                if (grant != null) return Ok(grant)
            }
            return Err(AccessRefusal.Full)
        }

        /** Waits for room on [target] until the deadline. */
        suspend fun on(target: Target): Grant? {
            val answer = ask(target, maxOf(0, deadline - clock.now()))
            return if (answer is AskAnswer.Given) grantOf(target, answer) else null
        }

        /** Asks each of [targets] for room at once, then waits for the best one. */
        private suspend fun round(targets: List<Target>): Grant? {
            var queueAt: Target? = null
            for (target in targets) {
                when (val answer = ask(target, waitMillis = 0)) {
                    is AskAnswer.Given -> return grantOf(target, answer)
                    is AskAnswer.Denied -> if (answer.denial == Denial.FULL && queueAt == null) queueAt = target
                    is AskAnswer.NotDeciding, null -> Unit
                }
            }
            if (queueAt == null) {
                delay(minOf(ROUND_PAUSE_MILLIS, maxOf(0, deadline - clock.now())))
                return null
            }
            val answer = ask(queueAt, minOf(QUEUE_MILLIS, maxOf(0, deadline - clock.now())))
            return if (answer is AskAnswer.Given) grantOf(queueAt, answer) else null
        }

        private var sent = started

        private suspend fun ask(
            target: Target,
            waitMillis: Long,
        ): AskAnswer? {
            val holder = seats().holderOf(target) ?: return null
            sent = clock.now()
            val request = AskRequest(target.id, askOf(), waitMillis, configuration().version)
            val result = if (holder.holder == self) Ok(decider.ask(request)) else peers.ask(holder.peer, request)
            val answer = result.fold(success = { it }, failure = { return lost(target, it) })
            learned(answer)
            return if (answer.configuration > request.configuration) outdated(target, answer, holder) else answer
        }

        /** The decider has a newer configuration: it is fetched, and the request is decided anew by it. */
        private suspend fun outdated(
            target: Target,
            answer: AskAnswer,
            holder: SeatView,
        ): AskAnswer? {
            heardVersion(answer.configuration, holder.peer)
            if (answer is AskAnswer.Given) deliver(target, ReleaseNotice(target.id, demand.request, UseOutcome.UNUSED))
            return null
        }

        private fun learned(answer: AskAnswer) {
            when (answer) {
                is AskAnswer.Given -> board.update(answer.summary)
                is AskAnswer.Denied -> board.update(answer.summary)
                is AskAnswer.NotDeciding -> Unit
            }
        }

        /** The grant may have been given; it is given back so that it does not stand until it ends by itself. */
        private fun lost(
            target: Target,
            error: PeerError,
        ): AskAnswer? {
            telemetry.count("yuccaferry.grant.asks.lost", labels = arrayOf(Field("error", error::class.simpleName)))
            scope.launch { deliver(target, ReleaseNotice(target.id, demand.request, UseOutcome.UNUSED)) }
            return null
        }

        private fun grantOf(
            target: Target,
            answer: AskAnswer.Given,
        ) = Grant(demand.request, target, answer.epoch, useBy = sent + (answer.queuedMillis + GRANT_WINDOW_MILLIS))

        private fun askOf() =
            Ask(
                request = demand.request,
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
