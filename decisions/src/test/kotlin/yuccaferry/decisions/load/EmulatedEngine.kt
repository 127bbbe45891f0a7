// A model engine that processes its requests in passes, in virtual time.
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.EngineModel
import kotlin.math.ceil

/**
 * One prompt on its way through an engine.
 *
 * @property isLong whether the placement treats it as a long prompt.
 * @property events events of its answer, one for each pass.
 * @property priority order in the engine's queue; the lowest is admitted first.
 */
internal class EmulatedRequest(
    val arrivalMillis: Double,
    val tokens: Long,
    val isLong: Boolean,
    val events: Int,
    val priority: Int = 0,
) {
    var remainingPrefillMillis = 0.0
    var written = 0
    var firstEventMillis: Double? = null
    var lastEventMillis = 0.0
    var longestPauseMillis = 0.0

    val isPrefilled get() = remainingPrefillMillis <= 0
}

/** An engine with the times of [model], each multiplied by [slowness]. */
internal class EmulatedEngine(
    private val model: EngineModel,
    var slowness: Double = 1.0,
) {
    /** Factor on the engine's times at a time, for example while it warms up. */
    var slownessAt: (Double) -> Double = { slowness }
    private var frozenUntil = 0.0
    private val queue = ArrayDeque<EmulatedRequest>()
    private val running = mutableListOf<EmulatedRequest>()
    private var nextPassEnd = Double.MAX_VALUE
    private var readers: List<Pair<EmulatedRequest, Double>> = emptyList()
    private var writers: List<EmulatedRequest> = emptyList()

    /** Requests that run or wait, and long ones among them. */
    val active get() = running.size + queue.size
    val longRequests get() = running.count { it.isLong } + queue.count { it.isLong }
    val remainingPrefillMillis get() = (running + queue).sumOf { maxOf(0.0, it.remainingPrefillMillis) }
    val heldTokens get() = (running + queue).sumOf { it.tokens }

    /** Time at which [advance] has something to do. */
    val nextMillis get() = nextPassEnd

    fun add(
        request: EmulatedRequest,
        now: Double,
        prefillMillis: Double = model.prefillMillis(request.tokens),
    ) {
        request.remainingPrefillMillis = prefillMillis
        queue += request
        if (nextPassEnd == Double.MAX_VALUE) startPass(now)
    }

    /** Ends no pass before [until]. */
    fun freeze(until: Double) {
        frozenUntil = until
        if (nextPassEnd < until) nextPassEnd = until
    }

    /** Drops all requests, as a crash does. */
    fun clear() {
        queue.clear()
        running.clear()
        nextPassEnd = Double.MAX_VALUE
    }

    /** Ends the pass that is due at [now] and starts the next one; returns the requests that are complete. */
    fun advance(now: Double): List<EmulatedRequest> {
        readers.forEach { (request, millis) ->
            request.remainingPrefillMillis -= millis
            if (request.isPrefilled) emit(request, now)
        }
        writers.forEach { emit(it, now) }
        val done = running.filter { it.written >= it.events }
        running -= done.toSet()
        startPass(now)
        return done
    }

    private fun emit(
        request: EmulatedRequest,
        now: Double,
    ) {
        request.written++
        if (request.firstEventMillis == null) {
            request.firstEventMillis = now
        } else {
            request.longestPauseMillis = maxOf(request.longestPauseMillis, now - request.lastEventMillis)
        }
        request.lastEventMillis = now
    }

    private fun startPass(now: Double) {
        while (queue.isNotEmpty() && running.size < model.figures.slots) running += queue.minBy { it.priority }.also { queue -= it }
        if (running.isEmpty()) {
            nextPassEnd = Double.MAX_VALUE
            return
        }
        writers = running.filter { it.isPrefilled }
        val steps = if (writers.isEmpty()) 1 else model.figures.stepsPerPass
        var chunkTokens = model.figures.chunkTokens.toLong() * maxOf(1, steps)
        val read = mutableListOf<Pair<EmulatedRequest, Double>>()
        for (request in running.filter { !it.isPrefilled }) {
            if (chunkTokens <= 0) break
            val perToken = model.prefillMillis(request.tokens) / request.tokens
            val part = minOf(chunkTokens, ceil(request.remainingPrefillMillis / perToken).toLong())
            chunkTokens -= part
            read += request to part * perToken
        }
        readers = read
        val writeMillis = if (writers.isEmpty()) 0.0 else model.passMillis(writers.size, writers.sumOf { it.tokens })
        nextPassEnd = maxOf(now, frozenUntil) + (writeMillis + read.sumOf { it.second }) * slownessAt(now)
    }
}
