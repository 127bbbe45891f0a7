/*
 * Connects the shard state machine to the store, the peers and the grants. The state machine runs under one lock and
 * does no I/O; the calls that it requests run in coroutines.
 */
package yuccaferry.daemon.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.ShardPeerHandler
import yuccaferry.daemon.port.ShardPeers
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.GrantsCall
import yuccaferry.decisions.shards.HandOverAnswer
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionAnswer
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.PeerCall
import yuccaferry.decisions.shards.PromiseAnswer
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.decisions.shards.ShardEffect
import yuccaferry.decisions.shards.ShardEvent
import yuccaferry.decisions.shards.ShardSettings
import yuccaferry.decisions.shards.ShardStateMachine
import yuccaferry.decisions.shards.StoreAnswer
import yuccaferry.decisions.shards.StoreCall
import yuccaferry.model.Epoch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Runs the control of shards of this daemon: performs the effects of the state machine, answers peers, and publishes
 * the shard table.
 *
 * @param record describes this daemon; its session and state are ignored.
 */
class ShardController(
    private val record: DaemonRecord,
    private val settings: ShardSettings,
    store: KeyValueStore,
    private val peers: ShardPeers,
    private val shardGrants: ShardGrants,
    private val configuration: ConfigurationView,
    private val clock: Clock,
    private val telemetry: Telemetry,
) : ShardPeerHandler {
    private val stateMachine = ShardStateMachine(record, settings)
    private val store = ControlStore(store, telemetry)
    private val published = PublishedShardTable(record.id, settings, clock, configuration)
    private val pendingHandOvers = ConcurrentHashMap<Long, PendingHandOver>()
    private val tokens = AtomicLong()
    private val left = CompletableDeferred<Unit>()
    private var scope: CoroutineScope? = null

    /** Shards and membership for the rest of the daemon. */
    val table: ShardTable get() = published

    /** Joins the fleet and keeps this daemon's shards as one of [tasks] until the returned job is cancelled; its calls run in [scope]. */
    fun start(
        scope: CoroutineScope,
        tasks: PeriodicTasks,
    ): Job {
        this.scope = scope
        registerGauges()
        return tasks.start("shards") {
            handle(ShardEvent.Tick)
            TICK_MILLIS
        }
    }

    /**
     * Hands all shards over and ends the lease. Returns false when that took longer than [timeoutMillis]; other daemons
     * then take over the remaining shards once the lease has expired. The job of [start] must still be active.
     */
    suspend fun leave(timeoutMillis: Long): Boolean {
        handle(ShardEvent.Leave)
        return withTimeoutOrNull(timeoutMillis) { left.await() } != null
    }

    override suspend fun extendLease(request: LeaseExtensionRequest): LeaseExtensionAnswer {
        count("attest", "in")
        reportNewerVersion(request)
        return synchronized(stateMachine) {
            stateMachine.setConfigurationInForce(configuration.version)
            stateMachine.extendLease(request, clock.now()).also { publish() }
        }
    }

    override suspend fun promise(request: PromiseRequest): PromiseAnswer {
        count("promise", "in")
        return synchronized(stateMachine) { stateMachine.promise(request, clock.now()) }
    }

    override suspend fun handOver(request: HandOverRequest): HandOverAnswer {
        count("hand_over", "in")
        val token = tokens.incrementAndGet()
        val pending = PendingHandOver(request)
        pendingHandOvers[token] = pending
        handle(ShardEvent.HandOverReceived(token, request))
        return pending.answer.await()
    }

    private fun handle(event: ShardEvent) {
        val effects =
            synchronized(stateMachine) {
                stateMachine.setConfigurationInForce(configuration.version)
                stateMachine.handle(event, clock.now()).also { publish() }
            }
        effects.forEach(::perform)
    }

    private fun publish() = published.publish(stateMachine)

    private fun perform(effect: ShardEffect) {
        when (effect) {
            is StoreCall -> {
                run {
                    val sentAt = clock.now()
                    val answer = guarded { store.perform(effect) } ?: StoreAnswer.Failed
                    handle(ShardEvent.StoreAnswered(effect, sentAt, answer))
                }
            }

            is PeerCall -> {
                run { callPeer(effect) }
            }

            is GrantsCall -> {
                performOnGrants(effect)
            }

            is ShardEffect.AnswerHandOver -> {
                answerHandOver(effect)
            }

            ShardEffect.Left -> {
                telemetry.event("control_left", Field("daemon", record.id))
                left.complete(Unit)
            }
        }
    }

    private fun performOnGrants(call: GrantsCall) {
        when (call) {
            is GrantsCall.Import -> {
                run {
                    pendingHandOvers.remove(call.token)?.let { guarded { shardGrants.import(call.shard, call.epoch, it.request.grants) } }
                    handle(ShardEvent.GrantsReady(call.shard, call.epoch))
                }
            }

            is GrantsCall.Recover -> {
                run {
                    guarded { shardGrants.recover(call.shard, call.epoch) }
                    handle(ShardEvent.GrantsReady(call.shard, call.epoch))
                }
            }

            is GrantsCall.Discard -> {
                telemetry.event("seat_lost", Field("seat", call.shard))
                shardGrants.discard(call.shard)
            }
        }
    }

    private suspend fun callPeer(call: PeerCall) {
        val sentAt = clock.now()
        when (call) {
            is PeerCall.ExtendLease -> {
                val answer = answerOf("attest") { peers.extendLease(call.member.peer, call.request) }
                if (answer != null && answer.configuration > configuration.version) {
                    configuration.newerVersionAt(call.member.peer, answer.configuration)
                }
                handle(ShardEvent.LeaseExtensionAnswered(call, sentAt, answer))
            }

            is PeerCall.Promise -> {
                val answer = answerOf("promise") { peers.promise(call.member.peer, call.request) }
                handle(ShardEvent.PromiseAnswered(call, answer))
            }

            is PeerCall.HandOver -> {
                val answer =
                    answerOf("hand_over") {
                        val grants = shardGrants.export(call.shard)
                        peers.handOver(call.to.peer, HandOverRequest(call.shard, call.epoch, call.revision, call.from, grants))
                    }
                telemetry.event("seat_handed_over", Field("seat", call.shard), Field("to", call.to.id), Field("answer", answer))
                if (answer == HandOverAnswer.TAKEN) published.learn(holderAfter(call))
                handle(ShardEvent.HandOverAnswered(call, answer))
            }
        }
    }

    /** The receiver's hold of a shard that it has taken; the store's view, which has it too, may come later. */
    private fun holderAfter(call: PeerCall.HandOver) = ShardHolder(call.shard, call.to.id, call.to.peer, Epoch(call.epoch.value + 1))

    private suspend fun <T> answerOf(
        kind: String,
        call: suspend () -> Result<T, PeerError>,
    ): T? {
        count(kind, "out")
        return guarded(call)?.mapBoth(success = { it }, failure = { null })
    }

    /** Runs [action]; null when it throws, as the state machine waits for an answer to each call. */
    private suspend fun <T : Any> guarded(action: suspend () -> T): T? =
        try {
            action()
        } catch (e: Throwable) {
            // A timeout inside the call is a CancellationException too; only the cancellation of this coroutine is rethrown.
            currentCoroutineContext().ensureActive()
            telemetry.event("control_call_failed", Field("error", e), severity = Severity.ERROR)
            null
        }

    private fun answerHandOver(effect: ShardEffect.AnswerHandOver) {
        val pending = pendingHandOvers[effect.token] ?: return
        if (effect.answer == HandOverAnswer.NOT_TAKEN) pendingHandOvers.remove(effect.token)
        pending.answer.complete(effect.answer)
    }

    private fun reportNewerVersion(request: LeaseExtensionRequest) {
        if (request.configuration <= configuration.version) return
        val sender = published.members.firstOrNull { it.id == request.holder.daemon } ?: return
        configuration.newerVersionAt(sender.peer, request.configuration)
    }

    private fun run(action: suspend () -> Unit) {
        scope?.launch { action() }
    }

    private fun count(
        kind: String,
        direction: String,
    ) = telemetry.count("control_peer_calls", 1.0, Field("kind", kind), Field("direction", direction))

    private fun registerGauges() {
        telemetry.gauge("control_seats_held") { published.heldShards().size.toDouble() }
        telemetry.gauge("control_members") { published.members.size.toDouble() }
        telemetry.gauge("control_confirmed") { if (published.confirmed) 1.0 else 0.0 }
    }

    private class PendingHandOver(
        val request: HandOverRequest,
    ) {
        val answer = CompletableDeferred<HandOverAnswer>()
    }

    private companion object {
        const val TICK_MILLIS = 250L
    }
}
