/*
 * Gateways that compete for the engines of one zone, in virtual time. Each gateway has a view of its own age and, where the policy uses
 * ranks, a queue of its own; nothing else connects them. Prompts are read in parts by several engines as the placement plans it.
 */
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.AdmissionQueue
import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.StreamPlacement
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.decisions.dispatch.WaitingRequest
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.Rank
import yuccaferry.decisions.routing.RankScale
import yuccaferry.model.AccountName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.util.PriorityQueue
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** A kind of prompt whose callers have [rank] and wait for [timeoutMillis]. */
internal class RankedKind(
    val name: String,
    val kind: PromptKind,
    val rank: Rank,
    val timeoutMillis: Long,
)

/** Places prompts; [usesRanks] says whether prompts have levels, wait in order and state a priority to the engine. */
internal class RankedPolicy(
    val name: String,
    val usesRanks: Boolean = false,
    val place: (Prompt, ZoneView, Random) -> StreamPlan?,
    val shouldWait: (Prompt, StreamPlan) -> Boolean = { _, _ -> false },
)

/** What became of one prompt; [firstMillis] is null if it was refused, [heldMillis] the time until it was sent or refused. */
internal class RankedOutcome(
    val kind: RankedKind,
    val account: AccountName,
    val tokens: Long,
    val firstMillis: Double?,
    val longestPauseMillis: Double,
    val heldMillis: Double,
) {
    val isServed = firstMillis != null && firstMillis <= kind.timeoutMillis
    val isOnTime = firstMillis != null && firstMillis <= kind.kind.targetMillis
}

/**
 * [gatewayCount] gateways in front of [engineCount] engines; views are 5 to 100 ms old, and twice as old for [lostShare] of the
 * decisions, for which the last message was lost.
 */
internal class RankedZone(
    private val figures: EngineFigures,
    engineCount: Int,
    private val gatewayCount: Int,
    private val policy: RankedPolicy,
    seed: Int,
    private val lostShare: Double = 0.0,
) {
    private val random = Random(seed)
    private val model = EngineModel(figures)
    private val placement = StreamPlacement(model)
    private val ids = List(engineCount) { TargetId("engine-%03d".format(it)) }
    private val engines = List(engineCount) { EmulatedEngine(model) }
    private val queues = List(gatewayCount) { AdmissionQueue() }
    private val viewAges = List(gatewayCount) { random.nextDouble(MIN_AGE_MILLIS, MAX_AGE_MILLIS) }

    /** Cumulative shares of the arrivals by gateway: a hash of the callers' connections spreads them unevenly. */
    private val gatewayShares = List(gatewayCount) { -ln(1 - random.nextDouble()) }.runningReduce(Double::plus)
    private val snapshots = ArrayDeque<ZoneView>()
    private val events = PriorityQueue<Event>(compareBy({ it.millis }, { it.number }))
    private var eventCount = 0L
    private var now = 0.0
    private val outcomes = mutableListOf<RankedOutcome>()
    private val sent = mutableListOf<Sent>()

    /** Plays [lengthMillis] of arrivals of [kinds] and returns the outcome of each prompt. */
    fun play(
        kinds: List<RankedKind>,
        lengthMillis: Double,
    ): List<RankedOutcome> {
        val scale = RankScale(kinds.map { it.rank })
        kinds.forEach { kind -> addArrivals(kind, scale, lengthMillis) }
        while (true) {
            val nextEvent = events.peek()?.millis ?: Double.MAX_VALUE
            val nextPass = engines.minOf { it.nextMillis }
            now = minOf(nextEvent, nextPass)
            if (now == Double.MAX_VALUE) break
            if (nextPass <= nextEvent) engines.forEach { if (it.nextMillis <= now) it.advance(now) } else events.poll().action()
        }
        return outcomes + sent.map { it.outcome() }
    }

    private fun schedule(
        millis: Double,
        action: () -> Unit,
    ) {
        events += Event(millis, eventCount++, action)
    }

    private fun addArrivals(
        kind: RankedKind,
        scale: RankScale,
        lengthMillis: Double,
    ) {
        var millis = 0.0
        while (true) {
            millis += -ln(1 - random.nextDouble()) * 1_000 / kind.kind.perSecond(millis)
            if (millis > lengthMillis) return
            val tokens = minOf(kind.kind.maxTokens, (kind.kind.meanTokens * logNormal(kind.kind.spread)).toLong().coerceAtLeast(1))
            val least = placement.leastMillis(tokens).toLong()
            val arrival = MonotonicTime(millis.toLong())
            // A few accounts have most of the requests.
            val account = AccountName("account-${(ACCOUNTS * random.nextDouble() * random.nextDouble() * random.nextDouble()).toInt()}")
            val entry =
                WaitingRequest(
                    id = RequestId("${kind.name}-$eventCount"),
                    urgency = checkNotNull(scale.urgencyOf(kind.rank)),
                    account = account,
                    arrival = arrival,
                    onTimeUntil = arrival + (kind.kind.targetMillis - least),
                    servableUntil = arrival + (kind.timeoutMillis - least),
                    deadline = arrival + kind.timeoutMillis,
                )
            val gateway = gatewayAt(random.nextDouble())
            val arrived =
                Arrived(kind, entry, account, millis, tokens, ceil(kind.kind.meanEvents * logNormal(EVENT_SPREAD)).toInt(), gateway)
            schedule(millis) { begin(arrived) }
        }
    }

    private fun gatewayAt(point: Double): Int = gatewayShares.indexOfFirst { it >= point * gatewayShares.last() }

    private fun begin(arrived: Arrived) {
        if (isQueued(arrived)) queues[arrived.gateway].add(arrived.entry, time())
        attempt(arrived)
    }

    private fun isQueued(arrived: Arrived) = policy.usesRanks && (arrived.entry.urgency.level > 0 || placement.isLong(arrived.tokens))

    private fun attempt(arrived: Arrived) {
        if (arrived.isDone) return
        val queue = queues[arrived.gateway]
        if (isQueued(arrived) && time() > arrived.entry.servableUntil) return refuse(arrived)
        if (!isQueued(arrived) || queue.isDue(arrived.entry, time())) {
            val prompt = promptOf(arrived)
            val plan = policy.place(prompt, viewOf(arrived.gateway), random) ?: return refuse(arrived)
            val isStarted = arrived.rejections > 0
            if (isStarted || !policy.shouldWait(prompt, plan)) {
                return if (plan.predictedMillis >= prompt.remainingMillis) refuse(arrived) else send(arrived, plan)
            }
        }
        val level = if (policy.usesRanks) maxOf(0, arrived.entry.levelAt(time())) else 0
        schedule(now + random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS) * (1 + level)) { attempt(arrived) }
    }

    private fun send(
        arrived: Arrived,
        plan: StreamPlan,
    ) {
        leave(arrived, isAdmitted = true)
        val parts = (listOf(plan.main) + plan.helpers.map { it.engine }).map { ids.indexOf(it.id) }
        if (engines[parts.first()].active >= figures.slots + ENGINE_QUEUE) return reject(arrived)
        val prefill = model.prefillMillis(arrived.tokens, parts.size)
        val isLong = placement.isLong(arrived.tokens)
        val priority = if (policy.usesRanks) arrived.entry.urgency.rank.value else 0
        val requests =
            parts.mapIndexed { index, engine ->
                EmulatedRequest(now, arrived.tokens / parts.size, isLong, if (index == 0) arrived.events else 1, priority)
                    .also { engines[engine].add(it, now, prefill) }
            }
        sent += Sent(arrived, requests, now - arrived.millis)
    }

    /** The engine is full: the gateway tries one other engine, as routes allow. */
    private fun reject(arrived: Arrived) {
        arrived.rejections++
        if (arrived.rejections > 1) return refuse(arrived)
        arrived.isDone = false
        schedule(now + REJECTION_MILLIS) { attemptAgain(arrived) }
    }

    private fun attemptAgain(arrived: Arrived) {
        val plan = policy.place(promptOf(arrived).copy(level = 0), viewOf(arrived.gateway), random) ?: return refuse(arrived)
        send(arrived, plan)
    }

    private fun refuse(arrived: Arrived) {
        leave(arrived, isAdmitted = false)
        outcomes += RankedOutcome(arrived.kind, arrived.account, arrived.tokens, null, 0.0, now - arrived.millis)
    }

    private fun leave(
        arrived: Arrived,
        isAdmitted: Boolean,
    ) {
        arrived.isDone = true
        val queue = queues[arrived.gateway]
        if (isAdmitted && isQueued(arrived) && arrived.rejections == 0) queue.admit(arrived.entry) else queue.remove(arrived.entry)
    }

    private fun promptOf(arrived: Arrived): Prompt {
        val waited = (now - arrived.millis).toLong()
        return Prompt(
            arrived.tokens,
            arrived.tokens + ANSWER_TOKENS,
            arrived.kind.kind.targetMillis,
            waitedMillis = waited,
            remainingMillis = arrived.kind.timeoutMillis - waited,
            level = levelOf(arrived),
        )
    }

    /** Long prompts keep their level, as in the gateway. */
    private fun levelOf(arrived: Arrived): Int =
        when {
            !policy.usesRanks -> 0
            placement.isLong(arrived.tokens) -> arrived.entry.urgency.level
            else -> arrived.entry.levelAt(time())
        }

    private fun time() = MonotonicTime(now.toLong())

    private fun viewOf(gateway: Int): ZoneView {
        if (snapshots.isEmpty() || now - snapshots.last().now >= SNAPSHOT_MILLIS) snapshots.addLast(snapshot())
        while (snapshots.size > 1 && snapshots[1].now <= now - 2 * MAX_AGE_MILLIS) snapshots.removeFirst()
        val age = viewAges[gateway] * if (random.nextDouble() < lostShare) 2 else 1
        return snapshots.last { it.now <= now - age || it === snapshots.first() }
    }

    private fun snapshot(): ZoneView {
        val loads =
            engines.mapIndexed { index, engine ->
                val prefill = engine.remainingPrefillMillis
                TargetLoad(ids[index], ZONE, engine.active, prefill, engine.heldTokens, engine.longRequests, 0.0, figures.slots)
            }
        return ZoneView(loads, loads.sumOf { it.active - it.longRequests }.toDouble(), now)
    }

    /** Returns a log-normal random number with mean 1. */
    private fun logNormal(spread: Double): Double {
        val gaussian = kotlin.math.sqrt(-2 * ln(1 - random.nextDouble())) * kotlin.math.cos(2 * Math.PI * random.nextDouble())
        return exp(spread * gaussian - spread * spread / 2)
    }

    private class Event(
        val millis: Double,
        val number: Long,
        val action: () -> Unit,
    )

    private class Arrived(
        val kind: RankedKind,
        val entry: WaitingRequest,
        val account: AccountName,
        val millis: Double,
        val tokens: Long,
        val events: Int,
        val gateway: Int,
    ) {
        var isDone = false
        var rejections = 0
    }

    private class Sent(
        val arrived: Arrived,
        val parts: List<EmulatedRequest>,
        val heldMillis: Double,
    ) {
        /** The first event follows the last part. */
        fun outcome(): RankedOutcome {
            val first = parts.maxOf { it.firstEventMillis ?: Double.MAX_VALUE } - arrived.millis
            return RankedOutcome(arrived.kind, arrived.account, arrived.tokens, first, parts.first().longestPauseMillis, heldMillis)
        }
    }

    private companion object {
        val ZONE = ZoneName("z")
        const val ACCOUNTS = 24
        const val ANSWER_TOKENS = 1_000L
        const val EVENT_SPREAD = 0.7
        const val MIN_AGE_MILLIS = 5.0
        const val MAX_AGE_MILLIS = 100.0

        /** Time between two states of the engines that are told apart. */
        const val SNAPSHOT_MILLIS = 4.0

        /** Requests that an engine queues beyond its slots before it rejects others, and the time that this takes. */
        const val ENGINE_QUEUE = 4
        const val REJECTION_MILLIS = 5.0

        /** Random pause between two tries of a waiting request, as in the gateway. */
        const val MIN_PAUSE_MILLIS = 15L
        const val MAX_PAUSE_MILLIS = 60L
    }
}
