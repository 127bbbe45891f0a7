/*
 * Many daemons in one process under simulated time. Each has a clock with its own offset and rate. Messages are delayed,
 * lost and reordered; daemons pause, crash, leave and start; the network is partitioned; the store is unreachable, slow
 * or loses answers.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.Address
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName
import java.util.PriorityQueue
import kotlin.random.Random

internal val region = RegionName("attica")

internal class SimulatedDaemon(
    val record: DaemonRecord,
    settings: ShardSettings,
    private val offset: Long,
    private val rate: Double,
) {
    val node = ShardStateMachine(record, settings)
    val offers = HashMap<Long, SimulatedFleet.Offer>()
    var alive = true
    var pausedUntil = 0L
    var storeReachable = true
    var group = 0

    fun clock(at: Long) = MonotonicTime(offset + (at * rate).toLong())
}

internal class SimulatedFleet(
    seed: Long,
    val settings: ShardSettings,
) {
    class Offer(
        val sender: SimulatedDaemon,
        val call: PeerCall.HandOver,
    )

    private class Scheduled(
        val at: Long,
        val number: Long,
        val action: () -> Unit,
    )

    val random = Random(seed)
    val store = SimulatedStore()
    val daemons = ArrayList<SimulatedDaemon>()
    var now = 0L
    var storeUp = true
    var storeDelay = 5L
    var answerLoss = 0.0
    var peerLoss = 0.0
    var peerMessages = 0L
    var storeCalls = 0L
    private val queue = PriorityQueue(compareBy<Scheduled>({ it.at }, { it.number }))
    private var number = 0L
    val checker = DecisionChecker(settings)

    fun start(zone: Int = random.nextInt(3)): SimulatedDaemon {
        val id = DaemonId("d${daemons.size}")
        val peer = Address("peer-$id")
        val record = DaemonRecord(id, Session(0), id.value, region, ZoneName("zone-$zone"), peer, peer)
        val daemon = SimulatedDaemon(record, settings, random.nextLong(1_000_000), 0.995 + random.nextDouble() / 100)
        daemons += daemon
        tick(daemon)
        return daemon
    }

    fun at(
        time: Long,
        action: () -> Unit,
    ) {
        queue += Scheduled(time, number++, action)
    }

    /** Runs until [time] and checks after each step that no shard has two deciders. */
    fun run(time: Long) {
        while (queue.isNotEmpty() && queue.peek().at <= time) {
            val next = queue.poll()
            now = next.at
            next.action()
            checker.check(now, daemons)
        }
        now = time
    }

    fun deciders(shard: ShardId): List<SimulatedDaemon> = daemons.filter { checker.epoch(it, shard, now) != null }

    fun settled(): Boolean = shardIds(settings).all { deciders(it).size == 1 }

    fun send(
        daemon: SimulatedDaemon,
        event: ShardEvent,
    ) = onDaemon(daemon) { perform(daemon, daemon.node.handle(event, daemon.clock(now))) }

    fun clearFaults() {
        storeUp = true
        storeDelay = 5
        answerLoss = 0.0
        peerLoss = 0.0
        daemons.forEach {
            it.storeReachable = true
            it.group = 0
            it.pausedUntil = 0
        }
    }

    private fun tick(daemon: SimulatedDaemon) {
        if (!daemon.alive) return
        send(daemon, ShardEvent.Tick)
        at(now + TICK_MILLIS) { tick(daemon) }
    }

    /** Runs [action] now, or when the daemon's pause ends. */
    private fun onDaemon(
        daemon: SimulatedDaemon,
        action: () -> Unit,
    ) {
        if (!daemon.alive) return
        if (now < daemon.pausedUntil) at(minOf(daemon.pausedUntil, now + TICK_MILLIS)) { onDaemon(daemon, action) } else action()
    }

    private fun perform(
        daemon: SimulatedDaemon,
        effects: List<ShardEffect>,
    ) = effects.forEach { perform(daemon, it) }

    private fun perform(
        daemon: SimulatedDaemon,
        effect: ShardEffect,
    ) {
        when (effect) {
            is StoreCall -> {
                callStore(daemon, effect)
            }

            is PeerCall -> {
                callPeer(daemon, effect)
            }

            is GrantsCall.Import -> {
                checker.recordImport(effect.shard, effect.epoch)
                at(now + 1) { send(daemon, ShardEvent.GrantsReady(effect.shard, effect.epoch)) }
            }

            is GrantsCall.Recover -> {
                at(now + 50) { send(daemon, ShardEvent.GrantsReady(effect.shard, effect.epoch)) }
            }

            is GrantsCall.Discard -> {
                Unit
            }

            is ShardEffect.AnswerHandOver -> {
                daemon.offers.remove(effect.token)?.let { answer(daemon, it, effect.answer) }
            }

            ShardEffect.Left -> {
                daemon.alive = false
            }
        }
    }

    private fun callStore(
        daemon: SimulatedDaemon,
        call: StoreCall,
    ) {
        storeCalls++
        val sentAt = daemon.clock(now)
        var answer: StoreAnswer? = null

        fun finish(with: StoreAnswer) {
            if (answer != null) return
            answer = with
            send(daemon, ShardEvent.StoreAnswered(call, sentAt, with))
        }
        val reachable = { storeUp && daemon.storeReachable }
        at(now + STORE_TIMEOUT_MILLIS) { finish(StoreAnswer.Failed) }
        at(now + 1 + random.nextLong(storeDelay)) {
            if (reachable()) {
                val result = store.handle(call, now)
                val lost = random.nextDouble() < answerLoss
                at(now + 1 + random.nextLong(storeDelay)) { if (!lost && reachable()) finish(result) }
            }
        }
    }

    private fun callPeer(
        daemon: SimulatedDaemon,
        call: PeerCall,
    ) {
        peerMessages++
        val sentAt = daemon.clock(now)
        var done = false

        fun finish(event: ShardEvent) {
            if (!done) send(daemon, event)
            done = true
        }
        at(now + PEER_TIMEOUT_MILLIS) { finish(event(call, sentAt, null)) }
        val target = daemons.first { it.record.peer == address(call) }
        deliver(daemon, target) {
            when (call) {
                is PeerCall.ExtendLease -> {
                    val result = target.node.extendLease(call.request, target.clock(now))
                    deliver(target, daemon) { finish(event(call, sentAt, result)) }
                }

                is PeerCall.Promise -> {
                    val result = target.node.promise(call.request, target.clock(now))
                    deliver(target, daemon) { finish(event(call, sentAt, result)) }
                }

                is PeerCall.HandOver -> {
                    target.offers[number] = Offer(daemon, call)
                    val request = HandOverRequest(call.shard, call.epoch, call.revision, call.from, ByteArray(0))
                    send(target, ShardEvent.HandOverReceived(number, request))
                }
            }
        }
    }

    private fun answer(
        receiver: SimulatedDaemon,
        offer: Offer,
        answer: HandOverAnswer,
    ) = deliver(receiver, offer.sender) { send(offer.sender, ShardEvent.HandOverAnswered(offer.call, answer)) }

    private fun event(
        call: PeerCall,
        sentAt: MonotonicTime,
        answer: Any?,
    ): ShardEvent =
        when (call) {
            is PeerCall.ExtendLease -> ShardEvent.LeaseExtensionAnswered(call, sentAt, answer as LeaseExtensionAnswer?)
            is PeerCall.Promise -> ShardEvent.PromiseAnswered(call, answer as PromiseAnswer?)
            is PeerCall.HandOver -> ShardEvent.HandOverAnswered(call, answer as HandOverAnswer?)
        }

    private fun address(call: PeerCall) =
        when (call) {
            is PeerCall.ExtendLease -> call.member.peer
            is PeerCall.Promise -> call.member.peer
            is PeerCall.HandOver -> call.to.peer
        }

    private fun deliver(
        from: SimulatedDaemon,
        to: SimulatedDaemon,
        action: () -> Unit,
    ) {
        val lost = random.nextDouble() < peerLoss
        at(now + 1 + random.nextLong(20)) { if (!lost && from.group == to.group) onDaemon(to, action) }
    }

    private companion object {
        const val TICK_MILLIS = 250L
        const val STORE_TIMEOUT_MILLIS = 1_000L
        const val PEER_TIMEOUT_MILLIS = 500L
    }
}

internal fun shardIds(settings: ShardSettings) =
    (0 until settings.shardsPerRegion).map {
        ShardId(region, yuccaferry.model.ShardNumber(it))
    }
