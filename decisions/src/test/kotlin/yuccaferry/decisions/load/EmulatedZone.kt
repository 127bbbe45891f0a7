/*
 * A zone of gateways and engines in virtual time. Gateways learn of each other's requests with a delay, and place prompts with the
 * product's own policies.
 */
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.EngineModel
import yuccaferry.decisions.dispatch.Prompt
import yuccaferry.decisions.dispatch.StreamPlan
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.util.PriorityQueue
import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/** What a gateway knows when it places a prompt. */
internal class ZoneView(
    val engines: List<TargetLoad>,
    val shortRequests: Double,
    val now: Double,
    val daemon: Int = 0,
)

/** Chooses the engine of a prompt; returns null to refuse it. */
internal fun interface ZonePolicy {
    fun place(
        prompt: Prompt,
        view: ZoneView,
        random: Random,
    ): StreamPlan?
}

/** [engineCount] engines with [figures]; the load that a gateway sees is [viewAgeMillis] old. */
internal class EmulatedZone(
    figures: EngineFigures,
    private val engineCount: Int,
    private val viewAgeMillis: Double,
    private val policy: ZonePolicy,
    seed: Int,
) {
    private val random = Random(seed)
    private val model = EngineModel(figures)
    private val ids = List(engineCount) { TargetId("engine-%03d".format(it)) }
    val engines = List(engineCount) { EmulatedEngine(model) }

    /** Called when the first event of a request on the engine at an index arrives: with the predicted and the observed time. */
    var onFirstEvent: (Int, Double, Double, Double) -> Unit = { _, _, _, _ -> }

    /** Milliseconds that recent answers add to the predicted time of the engine at an index. */
    var penaltyOf: (Int, Double) -> Double = { _, _ -> 0.0 }

    /** Called when a daemon learns that a request got its first event, or failed. */
    var onSignal: (ZoneSignal) -> Unit = {}

    /** Shares of the arrivals that each daemon gets. */
    var daemonShares = listOf(1.0)

    /** Requests that an engine takes beyond its slots; it rejects any more. */
    var queueLimit = Int.MAX_VALUE - figures.slots

    /** Time without a first event after which a daemon sends a request again; the engine goes on with it. */
    var timeoutMillis = Double.MAX_VALUE

    /** Whether the engine at an index fails the next request. */
    var fails: (Int) -> Boolean = { false }

    /** All requests that were sent to an engine, again ones too. */
    val sends = mutableListOf<EmulatedSend>()
    private val down = HashSet<Int>()
    private val actions = PriorityQueue<Action>(compareBy { it.millis })
    private val outcomes = mutableListOf<Outcome>()
    private val placed = mutableListOf<EmulatedSend>()
    private val snapshots = ArrayDeque<ZoneView>()

    /** Calls [run] with the time at [millis]. */
    fun at(
        millis: Double,
        run: (Double) -> Unit,
    ) {
        actions += Action(millis, run)
    }

    /** Crashes the engine at an index; its requests that have had no event are sent again. */
    fun stop(
        engine: Int,
        now: Double,
    ) {
        engines[engine].clear()
        down += engine
        placed.filter { it.engine == engine && it.firstMillis == null }.forEach { fail(it, now) }
    }

    /** Starts the engine at an index again. */
    fun start(engine: Int) {
        down -= engine
    }

    /** Plays [lengthMillis] of arrivals of [kinds] and returns the outcome of each prompt. */
    fun play(
        kinds: List<PromptKind>,
        lengthMillis: Double,
    ): List<Outcome> {
        kinds.forEach { kind -> arrivalsOf(kind, lengthMillis).forEach { at(it.millis) { now -> place(it, now) } } }
        while (true) {
            val nextAction = actions.peek()?.millis ?: Double.MAX_VALUE
            val nextPass = engines.minOf { it.nextMillis }
            val now = minOf(nextAction, nextPass)
            if (now == Double.MAX_VALUE) break
            if (nextPass <= nextAction) {
                engines.forEach { if (it.nextMillis <= now) it.advance(now) }
                reportFirstEvents(now)
            } else {
                actions.poll().run(now)
            }
        }
        return outcomes + placed.map { Outcome(it.arrival.kind, it.arrival.millis, it.sinceArrival, it.request.longestPauseMillis) }
    }

    private fun place(
        arrival: Arrival,
        now: Double,
        sent: Int = 0,
    ) {
        val plan = policy.place(promptOf(arrival, now), viewOf(arrival.daemon, now), random)
        if (plan == null) {
            outcomes += Outcome(arrival.kind, arrival.millis, null, 0.0)
            return
        }
        val request = EmulatedRequest(now, arrival.tokens, model.prefillMillis(arrival.tokens) > LONG_MILLIS, arrival.events)
        val send = EmulatedSend(arrival, request, ids.indexOf(plan.main.id), plan.predictedMillis, sent + 1)
        sends += send
        placed += send
        val engine = engines[send.engine]
        if (send.engine in down || fails(send.engine) || engine.active >= model.figures.slots + queueLimit) return fail(send, now)
        engine.add(request, now)
        if (timeoutMillis < Double.MAX_VALUE) at(now + timeoutMillis) { if (send in placed && send.firstMillis == null) fail(send, it) }
    }

    private fun fail(
        send: EmulatedSend,
        now: Double,
    ) {
        placed -= send
        onSignal(ZoneSignal(send, now, isFailure = true))
        if (send.number < MAX_SENDS) {
            at(now + RETRY_MILLIS) { place(send.arrival, it, send.number) }
        } else {
            outcomes += Outcome(send.arrival.kind, send.arrival.millis, null, 0.0)
        }
    }

    private fun viewOf(
        daemon: Int,
        now: Double,
    ): ZoneView {
        snapshots.addLast(snapshot(now))
        while (snapshots.size > 1 && snapshots[1].now <= now - viewAgeMillis) snapshots.removeFirst()
        val seen = snapshots.first()
        val engines = seen.engines.map { it.copy(penaltyMillis = penaltyOf(ids.indexOf(it.id), now)) }
        return ZoneView(engines, seen.shortRequests, now, daemon)
    }

    private fun reportFirstEvents(now: Double) =
        placed.filter { !it.isReported && it.firstMillis != null }.forEach {
            it.isReported = true
            onFirstEvent(it.engine, it.predictedMillis, checkNotNull(it.firstMillis), now)
            onSignal(ZoneSignal(it, now, isFailure = false))
        }

    private fun snapshot(now: Double): ZoneView {
        val loads =
            engines.mapIndexed { index, engine ->
                TargetLoad(
                    ids[index],
                    ZoneName("z"),
                    engine.active,
                    engine.remainingPrefillMillis,
                    engine.heldTokens,
                    engine.longRequests,
                    penaltyMillis = 0.0,
                    slots = model.figures.slots,
                )
            }
        val listed = loads.filterIndexed { index, _ -> index !in down }
        return ZoneView(listed, loads.sumOf { it.active - it.longRequests }.toDouble(), now)
    }

    private fun promptOf(
        arrival: Arrival,
        now: Double,
    ) = Prompt(
        arrival.tokens,
        arrival.tokens + ANSWER_TOKENS,
        arrival.kind.targetMillis,
        waitedMillis = (now - arrival.millis).toLong(),
        remainingMillis = DEADLINE_MILLIS - (now - arrival.millis).toLong(),
    )

    private fun arrivalsOf(
        kind: PromptKind,
        lengthMillis: Double,
    ): List<Arrival> {
        val arrivals = mutableListOf<Arrival>()
        var millis = 0.0
        while (true) {
            millis += -ln(1 - random.nextDouble()) * 1_000 / kind.perSecond(millis)
            if (millis > lengthMillis) return arrivals
            val tokens = minOf(kind.maxTokens, (kind.meanTokens * logNormal(kind.spread)).toLong().coerceAtLeast(1))
            arrivals += Arrival(kind, millis, tokens, ceil(kind.meanEvents * logNormal(EVENT_SPREAD)).toInt(), drawDaemon())
        }
    }

    /** Draws no random number where there is one daemon, so that plays without several are the same with any number of draws. */
    private fun drawDaemon(): Int {
        if (daemonShares.size == 1) return 0
        var left = random.nextDouble() * daemonShares.sum()
        return daemonShares.indexOfFirst { share -> (left - share).also { left = it } < 0 }.coerceAtLeast(0)
    }

    /** Returns a log-normal random number with mean 1. */
    private fun logNormal(spread: Double): Double {
        val gaussian = kotlin.math.sqrt(-2 * ln(1 - random.nextDouble())) * kotlin.math.cos(2 * Math.PI * random.nextDouble())
        return exp(spread * gaussian - spread * spread / 2)
    }

    private class Action(
        val millis: Double,
        val run: (Double) -> Unit,
    )

    private companion object {
        /** Prefill time above which a prompt counts as long, as in the placement. */
        const val LONG_MILLIS = 150.0
        const val ANSWER_TOKENS = 1_000L
        const val DEADLINE_MILLIS = 10_000L
        const val EVENT_SPREAD = 0.7

        /** Most engines to which one prompt is sent, and the milliseconds until it is sent again. */
        const val MAX_SENDS = 4
        const val RETRY_MILLIS = 5.0
    }
}
