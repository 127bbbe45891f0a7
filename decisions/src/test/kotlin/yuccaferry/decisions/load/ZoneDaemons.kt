/*
 * Daemons of an emulated zone that know what the product's daemons know: own penalties, those on which two agree, and the limits of young
 * and recovered engines. What one tells the others arrives after a delay.
 */
package yuccaferry.decisions.load

import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.dispatch.ShortPool
import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.dispatch.TargetLoad
import yuccaferry.decisions.limits.withinPace
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.random.Random

/** How the concurrent requests at young and recovered engines are limited. */
internal interface ZonePacer {
    /** Records that [run] of [engine] started. */
    fun start(
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ) = Unit

    /** Records that [daemon] got an answer of [engine] although two daemons saw it fail a short time ago. */
    fun recover(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        active: Int,
        now: MonotonicTime,
    ) = Unit

    /** Records a first event or failure. */
    fun record(
        signal: ZoneSignal,
        engine: TargetId,
        run: Incarnation,
    ) = Unit

    /** Returns the requests that [daemon] holds to be allowed at [engine]; null if there is no limit. */
    fun allowed(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Int?
}

/** Limits nothing, as before limits were added. */
internal object NoPacer : ZonePacer {
    override fun allowed(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Int? = null
}

/** [count] daemons that place prompts on engines of [LargeSite], limited by the [ZonePacer] that [pacer] makes for the zone. */
internal class ZoneDaemons(
    private val count: Int,
    engines: Int,
    delayMillis: Double,
    seed: Int,
    pacer: (EmulatedZone) -> ZonePacer,
) {
    private val names = List(count) { DaemonName("daemon-$it") }
    private val health = List(count) { TargetHealth() }
    private val reports = PeerReports()
    private val runs = IntArray(engines)
    private val failing = HashMap<Int, Double>()
    private val failures = Random(seed)
    private val policy: ZonePolicy =
        ZonePolicy { prompt, view, random ->
            val now = time(view.now)
            val open = withinPace(view.engines, { isWithin(it, view) }, { it.active < it.slots })
            val known = open.map { it.copy(penaltyMillis = penaltyOf(view.daemon, it.id, now)) }
            val pool = ShortPool.of(view.shortRequests, known.size, LargeSite.figures.slots)
            val sampled = if (LargeSite.placement.isLong(prompt.promptTokens)) known else pool.sample(known, random)
            val plan = LargeSite.placement.place(prompt, sampled, random.nextDouble())
            plan?.takeIf { LargeSite.placement.isUncontended(prompt, it) } ?: LargeSite.placement.place(prompt, known, random.nextDouble())
        }

    val zone: EmulatedZone = EmulatedZone(LargeSite.figures, engines, delayMillis, policy, seed)
    private val pacer: ZonePacer = pacer(zone)

    init {
        // Uneven as a balancer's hash makes them: the first daemon gets several times as much as the last.
        zone.daemonShares = List(count) { 1.0 / (UNEVENNESS + it) }
        zone.queueLimit = QUEUE_LIMIT
        zone.timeoutMillis = TIMEOUT_MILLIS
        zone.fails = { engine -> failing[engine]?.let { failures.nextDouble() < it } == true }
        zone.onSignal = { record(it) }
    }

    /** Crashes [engine] at [millis] and starts it after [downMillis]; its [slowness] falls to one in [slowMillis]. */
    fun restart(
        engine: Int,
        millis: Double,
        downMillis: Double,
        slowness: Double,
        slowMillis: Double,
    ) {
        zone.at(millis) { zone.stop(engine, it) }
        zone.at(millis + downMillis) { started ->
            zone.start(engine)
            runs[engine]++
            zone.engines[engine].slownessAt = { maxOf(1.0, slowness - (slowness - 1) * (it - started) / slowMillis) }
            pacer.start(id(engine), run(engine), time(started))
        }
    }

    /** Stops the passes of [engine] from [millis] on for [frozenMillis]; afterwards it is slow as after a start. */
    fun freeze(
        engine: Int,
        millis: Double,
        frozenMillis: Double,
        slowness: Double,
        slowMillis: Double,
    ) = zone.at(millis) { now ->
        zone.engines[engine].freeze(now + frozenMillis)
        zone.engines[engine].slownessAt = { maxOf(1.0, slowness - (slowness - 1) * (it - now - frozenMillis) / slowMillis) }
    }

    /** Makes a [share] of the requests to [engine] fail at once from the start on. */
    fun failSometimes(
        engine: Int,
        share: Double,
    ) {
        failing[engine] = share
    }

    private fun record(signal: ZoneSignal) {
        val engine = id(signal.send.engine)
        val run = run(signal.send.engine)
        val now = time(signal.now)
        val daemon = signal.send.arrival.daemon
        if (!signal.isFailure && agreedMillis(daemon, engine, run, now) >= TargetHealth.BROKEN_MILLIS / 2) {
            pacer.recover(daemon, engine, run, zone.engines[signal.send.engine].active, now)
        }
        pacer.record(signal, engine, run)
        if (signal.isFailure) {
            health[daemon].recordFailure(engine, run, TargetHealth.BROKEN_MILLIS, now)
        } else {
            val observed = checkNotNull(signal.send.firstMillis)
            health[daemon].recordFirstEvent(engine, run, signal.send.predictedMillis, observed, now)
            health[daemon].recordSuccess(engine, run, now)
        }
        reports.receive(names[daemon], health[daemon].reportable(now), now)
    }

    private fun isWithin(
        engine: TargetLoad,
        view: ZoneView,
    ) = pacer.allowed(view.daemon, engine.id, run(indexOf(engine.id)), time(view.now))?.let { engine.active < it } ?: true

    private fun agreedMillis(
        daemon: Int,
        engine: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ) = reports.agreedMillis(engine, run, health[daemon].penaltyMillis(engine, run, now), now)

    private fun penaltyOf(
        daemon: Int,
        engine: TargetId,
        now: MonotonicTime,
    ): Double {
        val run = run(indexOf(engine))
        val own = health[daemon].penaltyMillis(engine, run, now)
        return maxOf(own, reports.agreedMillis(engine, run, own, now))
    }

    private fun run(engine: Int) = Incarnation(runs[engine].toString())

    private companion object {
        /** Requests beyond the slots that an engine queues, and the wait for a first event. */
        const val QUEUE_LIMIT = 6
        const val TIMEOUT_MILLIS = 1_000.0
        const val UNEVENNESS = 4.0

        fun id(engine: Int) = TargetId("engine-%03d".format(engine))

        fun indexOf(engine: TargetId) = engine.value.substringAfter('-').toInt()

        fun time(millis: Double) = MonotonicTime(millis.toLong())
    }
}
