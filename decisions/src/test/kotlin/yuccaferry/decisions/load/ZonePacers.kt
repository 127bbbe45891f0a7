// The product's limit of young engines, and others that it is compared with.
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.limits.TargetPace
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.math.sqrt

/** The product's limit: one [TargetPace] in each of [count] daemons, which tell [near] others of changes after [delayMillis]. */
internal class SharedPacer(
    private val zone: EmulatedZone,
    private val count: Int,
    private val near: Int,
    private val delayMillis: Double,
) : ZonePacer {
    private val paces = List(count) { TargetPace() }

    override fun start(
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ) = paces.forEachIndexed { index, pace ->
        // Daemons read of a start at different times.
        zone.at(now.millis + delayMillis * index / count) {
            pace.begin(engine, run, LargeSite.figures.slots, active = 0, MonotonicTime(it.toLong()))
        }
    }

    override fun recover(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        active: Int,
        now: MonotonicTime,
    ) {
        paces[daemon].begin(engine, run, LargeSite.figures.slots, active, now)
    }

    override fun record(
        signal: ZoneSignal,
        engine: TargetId,
        run: Incarnation,
    ) {
        val daemon = signal.send.arrival.daemon
        val pace = paces[daemon]
        val now = MonotonicTime(signal.now.toLong())
        pace.expire(now)
        if (pace.allowed(engine, run, now) == null) return
        val sentAt = MonotonicTime(signal.send.sentMillis.toLong())
        if (signal.isTrouble) pace.recordTrouble(engine, run, sentAt, now) else pace.recordOnTime(engine, run, sentAt, now)
        tell(daemon, signal.now)
    }

    private fun tell(
        daemon: Int,
        millis: Double,
    ) = zone.at(millis + delayMillis) { now ->
        val time = MonotonicTime(now.toLong())
        val told = paces[daemon].reports(time)
        for (step in 1..near) paces[(daemon + step) % count].receive(DaemonName("$daemon"), told, time)
    }

    override fun allowed(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Int? = paces[daemon].allowed(engine, run, now)
}

/** A limit that all daemons know at once, which is better than any messages, and that [next] changes with each answer. */
internal class CentralPacer(
    private val next: (CentralLimit, ZoneSignal) -> Double,
) : ZonePacer {
    private val limits = HashMap<TargetId, CentralLimit>()

    override fun start(
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ) {
        limits[engine] = CentralLimit(run, LargeSite.figures.slots / 4.0)
    }

    override fun recover(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        active: Int,
        now: MonotonicTime,
    ) {
        if (engine !in limits) limits[engine] = CentralLimit(run, maxOf(LargeSite.figures.slots / 4.0, active / 2.0))
    }

    override fun record(
        signal: ZoneSignal,
        engine: TargetId,
        run: Incarnation,
    ) {
        val limit = limits[engine]?.takeIf { it.run == run } ?: return
        limit.allowed = next(limit, signal).coerceAtLeast(1.0)
        if (limit.allowed >= LargeSite.figures.slots) limits -= engine
    }

    override fun allowed(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Int? = limits[engine]?.takeIf { it.run == run }?.allowed?.toInt()

    companion object {
        /** Additive increase by one with each generation of answers, multiplicative decrease. */
        fun additive() = CentralPacer { limit, signal -> if (signal.isTrouble) limit.allowed / 2 else limit.allowed + 1 / limit.allowed }

        /** Gradient of delay, as TCP Vegas uses it: the limit follows the ratio of the predicted and the observed time. */
        fun gradient() =
            CentralPacer { limit, signal ->
                val target = limit.allowed * minOf(1.0, signal.ratio * GRADIENT_TOLERANCE) + sqrt(limit.allowed)
                limit.allowed + (target - limit.allowed) * SMOOTHING
            }

        /** A controller with proportional, integral and derivative parts of how far an answer is from the predicted time. */
        fun pid() =
            CentralPacer { limit, signal ->
                val error = signal.ratio - PID_SET_POINT
                limit.sum += error
                val change = PROPORTIONAL * error + INTEGRAL * limit.sum + DERIVATIVE * (error - limit.lastError)
                limit.lastError = error
                limit.allowed + change
            }

        /** Observed times up to twice the predicted ones are usual. */
        private const val GRADIENT_TOLERANCE = 2.0
        private const val SMOOTHING = 0.3
        private const val PID_SET_POINT = 0.5
        private const val PROPORTIONAL = 1.0
        private const val INTEGRAL = 0.1
        private const val DERIVATIVE = 0.2
    }
}

/** State of a [CentralPacer] for one [run] of an engine. */
internal class CentralLimit(
    val run: Incarnation,
    var allowed: Double,
) {
    var sum = 0.0
    var lastError = 0.0
}

/** Whether the request failed, or its first event came later than predictions usually err. */
private val ZoneSignal.isTrouble: Boolean
    get() = isFailure || TargetHealth.isLate(send.predictedMillis, checkNotNull(send.firstMillis))

/** The predicted share of the observed time; zero for a failure. */
private val ZoneSignal.ratio: Double
    get() = if (isFailure) 0.0 else minOf(1.0, send.predictedMillis / checkNotNull(send.firstMillis))
