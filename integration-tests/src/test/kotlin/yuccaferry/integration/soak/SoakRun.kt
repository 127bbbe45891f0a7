/*
 * One soak run: callers send requests continuously while the plan's faults are injected. Then all faults are removed, and all daemons
 * must serve the newest configuration.
 */
package yuccaferry.integration.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.gateway.net.EventLoop
import yuccaferry.integration.Signal
import yuccaferry.platform.standin.Answer
import yuccaferry.platform.standin.CallerRequest
import yuccaferry.platform.standin.CallerStandIn
import yuccaferry.platform.standin.StandInKeys
import yuccaferry.platform.standin.StoreStandIn
import yuccaferry.standin.proxy.ProxyFaults
import kotlin.random.Random

/** A request and its answer; times are in ms after the start of traffic. */
internal class Exchange(
    val request: CallerRequest,
    val daemon: Int,
    val daemonStartCount: Int,
    val sentMillis: Long,
    val endMillis: Long,
    val answer: Answer,
)

/** Runs the plan of [seed] for [lengthMillis] of traffic. */
internal class SoakRun(
    private val loop: EventLoop,
    private val seed: Long,
    private val lengthMillis: Long,
) {
    val fleet = SoakFleet(loop)
    val plan = planOf(seed, lengthMillis, SoakFleet.DAEMONS, SoakFleet.TARGETS)
    val exchanges = mutableListOf<Exchange>()

    /** Daemons that did not serve a sound stream after all faults were removed. */
    var streamlessDaemons = emptyList<Int>()
        private set

    /** Daemons that had no entry in the store after all faults were removed. */
    var unregisteredDaemons = emptyList<String>()
        private set

    /** Whether some callers send prompts with the part that crashes targets. */
    private var isSendingCrashingPart = false
    private val restarts = mutableListOf<Job>()

    /** Daemons that did not serve the newest configuration after all faults were removed. */
    var staleDaemons = emptyList<Int>()
        private set
    var start = loop.now()
        private set
    private var requestCount = 0

    suspend fun run(scope: CoroutineScope) {
        fleet.start()
        awaitNewestConfiguration()
        start = loop.now()
        fleet.targets.forEach { target ->
            target.instance.crashingPart = CRASHING_PART
            target.instance.onCrash = { restarts += scope.launch { fleet.crash(target) } }
        }
        val callers = List(CALLERS) { number -> scope.launch { runCaller(number) } }
        val faults = plan.map { scope.launch { inject(it) } }
        (callers + faults).joinAll()
        restarts.joinAll()
        clearFaults()
        staleDaemons = awaitNewestConfiguration()
        streamlessDaemons = daemonsWithout { postStream() }
        unregisteredDaemons = fleet.awaitRegistrations(IN_FORCE_BOUND_MILLIS)
    }

    private fun elapsed() = loop.now() - start

    private suspend fun runCaller(number: Int) {
        val random = Random(seed * CALLERS + number)
        val caller = CallerStandIn(loop, SoakFleet.KEY)
        while (elapsed() < lengthMillis) {
            val daemon = random.nextInt(SoakFleet.DAEMONS)
            val newest = fleet.version
            val request =
                when (random.nextInt(PATH_WEIGHT_SUM)) {
                    0, 1 -> post("/book/x", BOOKING_MILLIS)
                    2 -> post("/safe/x", BOOKING_MILLIS)
                    3 -> post("/v${random.nextInt(1, newest + 1)}/x", BOOKING_MILLIS)
                    else -> postStream()
                }
            send(caller, daemon, request)
            delay(random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    private fun post(
        path: String,
        remainingMillis: Long,
    ) = CallerRequest("a${++requestCount}", path, remainingMillis)

    /** Returns a stream, which shares its prompt's first part with all others. */
    private fun postStream(): CallerRequest {
        val number = ++requestCount
        val part = if (isSendingCrashingPart && number % STREAMS_PER_CRASHING_PART == 0) "$CRASHING_PART:300," else ""
        return CallerRequest("a$number", "/read/x", STREAM_MILLIS, isStream = true, promptParts = "shared:40,${part}own-$number:90")
    }

    private suspend fun send(
        caller: CallerStandIn,
        daemon: Int,
        request: CallerRequest,
    ): Answer {
        val sent = elapsed()
        val startCount = fleet.daemons[daemon].startCount
        val answer = caller.send(fleet.daemons[daemon].address, request)
        exchanges += Exchange(request, daemon, startCount, sent, elapsed(), answer)
        return answer
    }

    private suspend fun inject(timed: TimedFault) {
        delay(timed.atMillis)
        when (val fault = timed.fault) {
            is Fault.AtDaemon -> injectAtDaemon(fault, timed)
            is Fault.AtStore -> injectAtStore(fault, timed)
            is Fault.AtTarget -> injectAtTarget(fault, timed)
            Fault.SendCrashingPart -> during(timed, { isSendingCrashingPart = true }, { isSendingCrashingPart = false })
        }
    }

    private suspend fun injectAtDaemon(
        fault: Fault.AtDaemon,
        timed: TimedFault,
    ) {
        val daemon = fault.daemon
        when (fault) {
            is Fault.KillDaemon -> signal(daemon, Signal.KILL).also { restart(daemon) }
            is Fault.StopDaemon -> signal(daemon, Signal.TERM).also { restart(daemon) }
            is Fault.ReloadSettings -> withContext(Dispatchers.IO) { fleet.daemons[daemon].reload() }
            is Fault.PauseDaemon -> during(timed, { signal(daemon, Signal.STOP) }, { signal(daemon, Signal.CONT) })
            is Fault.CutStoreLink -> onLink(timed, daemon, ProxyFaults(cut = true))
            is Fault.SilenceStoreLink -> onLink(timed, daemon, oneWayFault(fault.isUpward))
            is Fault.SilenceOpenStoreConnections -> fleet.daemons[daemon].storeLink.silenceOpen()
            is Fault.DelayStoreLink -> onLink(timed, daemon, ProxyFaults(delayMs = fault.delayMillis))
        }
    }

    private suspend fun injectAtStore(
        fault: Fault.AtStore,
        timed: TimedFault,
    ) {
        val zoneKey = StandInKeys.ZONES_OUT + SoakFleet.ZONE
        when (fault) {
            Fault.RefuseAtStore -> onStore(timed, StoreStandIn.Mode.BUSY)
            Fault.SilenceStore -> onStore(timed, StoreStandIn.Mode.SILENT)
            Fault.ForgetHistory -> fleet.store.compactHistory()
            Fault.RestoreStore -> fleet.restoreStore(timed.forMillis)
            Fault.Configure -> fleet.configure()
            Fault.TakeZoneOut -> during(timed, { fleet.store.put(zoneKey, "{}") }, { fleet.store.remove(zoneKey) })
        }
    }

    private suspend fun injectAtTarget(
        fault: Fault.AtTarget,
        timed: TimedFault,
    ) {
        val target = fleet.targets[fault.target]
        when (fault) {
            is Fault.CutTarget -> {
                onTarget(timed, target, ProxyFaults(cut = true))
            }

            is Fault.SilenceTarget -> {
                onTarget(timed, target, ProxyFaults(freeze = true))
            }

            is Fault.LoseAnswers -> {
                during(timed, { target.instance.losesAnswers = true }, { target.instance.losesAnswers = false })
            }

            is Fault.CutAnswers -> {
                during(timed, { target.instance.cutsAnswers = true }, { target.instance.cutsAnswers = false })
            }

            is Fault.SilenceOpenConnections -> {
                target.link.silenceOpen()
            }

            is Fault.AnswerWithoutEnd -> {
                during(timed, { target.instance.hasEndlessAnswers = true }, { target.instance.hasEndlessAnswers = false })
            }

            is Fault.AskForPause -> {
                during(timed, { target.instance.pauseMillis = timed.forMillis }, { target.instance.pauseMillis = null })
            }

            is Fault.AnnounceLeaving -> {
                during(timed, { target.instance.isLeaving = true }, { fleet.runAnew(target) })
            }

            is Fault.DrainTarget -> {
                fleet.drain(target, timed.forMillis)
            }
        }
    }

    private suspend fun during(
        timed: TimedFault,
        begin: suspend () -> Unit,
        end: suspend () -> Unit,
    ) {
        begin()
        delay(timed.forMillis)
        end()
    }

    private suspend fun onLink(
        timed: TimedFault,
        daemon: Int,
        faults: ProxyFaults,
    ) = fleet.daemons[daemon].storeLink.let { link -> during(timed, { link.set(faults) }, { link.set(ProxyFaults()) }) }

    private suspend fun onTarget(
        timed: TimedFault,
        target: SoakTarget,
        faults: ProxyFaults,
    ) = during(timed, { target.link.set(faults) }, { target.link.set(ProxyFaults()) })

    private suspend fun onStore(
        timed: TimedFault,
        mode: StoreStandIn.Mode,
    ) = during(timed, { fleet.store.mode = mode }, { fleet.store.mode = StoreStandIn.Mode.SERVING })

    private suspend fun signal(
        daemon: Int,
        signal: Signal,
    ) = withContext(Dispatchers.IO) { fleet.daemons[daemon].signal(signal) }

    /** Starts the daemon again after it has ended; concurrent restarts of one daemon run one after another. */
    private suspend fun restart(daemon: Int) =
        withContext(Dispatchers.IO) { synchronized(fleet.daemons[daemon]) { fleet.daemons[daemon].awaitEndAndStart() } }

    private suspend fun clearFaults() {
        fleet.store.mode = StoreStandIn.Mode.SERVING
        fleet.store.remove(StandInKeys.ZONES_OUT + SoakFleet.ZONE)
        fleet.daemons.forEach { it.storeLink.set(ProxyFaults()) }
        fleet.targets.forEach {
            it.link.set(ProxyFaults())
            it.instance.losesAnswers = false
            it.instance.cutsAnswers = false
            it.instance.hasEndlessAnswers = false
            it.instance.isLeaving = false
            it.instance.pauseMillis = null
            fleet.listTarget(it)
        }
        fleet.daemons.indices.forEach { signal(it, Signal.CONT) }
    }

    /** Waits until all daemons serve the newest route; returns those that don't within the time limit. */
    private suspend fun awaitNewestConfiguration() = daemonsWithout { post("/v${fleet.version}/x", BOOKING_MILLIS) }

    /** Sends [request] to each daemon until it is answered; returns the daemons that don't answer it within the time limit. */
    private suspend fun daemonsWithout(request: () -> CallerRequest): List<Int> {
        val caller = CallerStandIn(loop, SoakFleet.KEY)
        return fleet.daemons.indices.filter { daemon ->
            val served =
                withTimeoutOrNull(IN_FORCE_BOUND_MILLIS) {
                    while (isActive && send(caller, daemon, request()).status != OK) delay(POLL_MILLIS)
                    true
                }
            served != true
        }
    }

    internal companion object {
        /** Name of the part of prompts that crashes targets. */
        const val CRASHING_PART = "deadly"

        /** Every so many requests, the prompts of streams have the part that crashes targets while such prompts are sent. */
        private const val STREAMS_PER_CRASHING_PART = 4
        private const val OK = 200
        private const val CALLERS = 12

        /** Sum of the weights with which a request's path is drawn. */
        private const val PATH_WEIGHT_SUM = 6

        /** Milliseconds that callers send as the remaining time of a call and of a stream; they wait one second longer. */
        private const val BOOKING_MILLIS = 1_500L
        private const val STREAM_MILLIS = 6_000L

        /** Upper limit in milliseconds of a caller's pause between two requests. */
        private const val MAX_PAUSE_MILLIS = 60L

        /** Milliseconds within which an accepted configuration is required to be in force on all daemons. */
        private const val IN_FORCE_BOUND_MILLIS = 15_000L
        private const val POLL_MILLIS = 50L
    }
}
