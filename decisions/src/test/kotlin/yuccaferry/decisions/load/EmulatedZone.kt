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
)

/** Chooses the engine of a prompt; returns null to refuse it. */
internal fun interface ZonePolicy {
    fun place(
        prompt: Prompt,
        view: ZoneView,
        random: Random,
    ): StreamPlan?
}

/**
 * One kind of prompt.
 *
 * @property perSecond arrivals in a second on average, by the time since the start in milliseconds.
 * @property meanTokens mean prompt length, and [spread] the standard deviation of its logarithm.
 * @property meanEvents mean number of events of an answer.
 */
internal class PromptKind(
    val perSecond: (Double) -> Double,
    val meanTokens: Double,
    val spread: Double,
    val maxTokens: Long,
    val meanEvents: Double,
    val targetMillis: Long,
)

/** Outcome of one prompt: the time to its first event, and the longest pause after it; null if it was refused. */
internal class Outcome(
    val kind: PromptKind,
    val arrivalMillis: Double,
    val firstMillis: Double?,
    val longestPauseMillis: Double,
)

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

    /** Plays [lengthMillis] of arrivals of [kinds] and returns the outcome of each prompt. */
    fun play(
        kinds: List<PromptKind>,
        lengthMillis: Double,
    ): List<Outcome> {
        val outcomes = mutableListOf<Outcome>()
        val placed = mutableListOf<Placed>()
        val snapshots = ArrayDeque<ZoneView>()
        val arrivals = PriorityQueue<Arrival>(compareBy { it.millis })
        kinds.forEach { kind -> arrivalsOf(kind, lengthMillis).forEach { arrivals += it } }
        var now = 0.0
        while (true) {
            val nextArrival = arrivals.peek()?.millis ?: Double.MAX_VALUE
            val nextPass = engines.minOf { it.nextMillis }
            now = minOf(nextArrival, nextPass)
            if (now == Double.MAX_VALUE) break
            if (nextPass <= nextArrival) {
                engines.forEach { if (it.nextMillis <= now) it.advance(now) }
                reportFirstEvents(placed, now)
                continue
            }
            val arrival = arrivals.poll()
            snapshots.addLast(snapshot(now))
            while (snapshots.size > 1 && snapshots[1].now <= now - viewAgeMillis) snapshots.removeFirst()
            val seen = snapshots.first()
            val view =
                ZoneView(
                    seen.engines.mapIndexed {
                        index,
                        load,
                        ->
                        load.copy(penaltyMillis = penaltyOf(index, now))
                    },
                    seen.shortRequests,
                    now,
                )
            val plan = policy.place(promptOf(arrival), view, random)
            if (plan == null) {
                outcomes += Outcome(arrival.kind, arrival.millis, null, 0.0)
                continue
            }
            val request = EmulatedRequest(now, arrival.tokens, model.prefillMillis(arrival.tokens) > LONG_MILLIS, arrival.events)
            val index = ids.indexOf(plan.main.id)
            engines[index].add(request, now)
            placed += Placed(arrival.kind, request, index, plan.predictedMillis)
        }
        return outcomes + placed.map { Outcome(it.kind, it.request.arrivalMillis, it.firstMillis, it.request.longestPauseMillis) }
    }

    private fun reportFirstEvents(
        placed: List<Placed>,
        now: Double,
    ) = placed.filter { !it.isReported && it.firstMillis != null }.forEach {
        it.isReported = true
        onFirstEvent(it.engine, it.predictedMillis, checkNotNull(it.firstMillis), now)
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
        return ZoneView(loads, loads.sumOf { it.active - it.longRequests }.toDouble(), now)
    }

    private fun promptOf(arrival: Arrival) =
        Prompt(
            arrival.tokens,
            arrival.tokens + ANSWER_TOKENS,
            arrival.kind.targetMillis,
            waitedMillis = 0,
            remainingMillis = DEADLINE_MILLIS,
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
            arrivals += Arrival(kind, millis, tokens, ceil(kind.meanEvents * logNormal(EVENT_SPREAD)).toInt())
        }
    }

    /** Returns a log-normal random number with mean 1. */
    private fun logNormal(spread: Double): Double {
        val gaussian = kotlin.math.sqrt(-2 * ln(1 - random.nextDouble())) * kotlin.math.cos(2 * Math.PI * random.nextDouble())
        return exp(spread * gaussian - spread * spread / 2)
    }

    private class Arrival(
        val kind: PromptKind,
        val millis: Double,
        val tokens: Long,
        val events: Int,
    )

    private class Placed(
        val kind: PromptKind,
        val request: EmulatedRequest,
        val engine: Int,
        val predictedMillis: Double,
    ) {
        var isReported = false
        val firstMillis get() = request.firstEventMillis?.let { it - request.arrivalMillis }
    }

    private companion object {
        /** Prefill time above which a prompt counts as long, as in the placement. */
        const val LONG_MILLIS = 150.0
        const val ANSWER_TOKENS = 1_000L
        const val DEADLINE_MILLIS = 10_000L
        const val EVENT_SPREAD = 0.7
    }
}
