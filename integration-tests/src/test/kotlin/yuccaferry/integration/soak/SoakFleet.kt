/*
 * Daemon processes with in-process stand-ins of the platform and of the targets. Each daemon reaches the store through its own
 * proxy, and all reach each target through that target's proxy, so that every link can be cut, silenced and delayed. Everything
 * except the processes is confined to the event loop.
 */
package yuccaferry.integration.soak

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.app.GatewaySettings
import yuccaferry.gateway.net.EventLoop
import yuccaferry.integration.ProcessUnderTest
import yuccaferry.integration.Signal
import yuccaferry.platform.standin.InstanceStandIn
import yuccaferry.platform.standin.StandInKeys
import yuccaferry.platform.standin.StoreStandIn
import yuccaferry.platform.standin.configurationDocument
import yuccaferry.standin.proxy.Direction
import yuccaferry.standin.proxy.ProxyFaults
import yuccaferry.standin.proxy.TcpProxy
import yuccaferry.standin.server.HostPort
import java.io.File
import java.net.InetSocketAddress

/** A daemon process; [startCount] is the number of its starts. */
internal class SoakDaemon(
    val name: String,
    private val settings: GatewaySettings,
    val storeLink: TcpProxy,
) {
    private val file = File.createTempFile("settings-$name", ".json", File("target"))

    @Volatile
    private var process: ProcessUnderTest? = null

    @Volatile
    private var endingProcess: ProcessUnderTest? = null

    @Volatile
    var startCount = 0
        private set

    val address: InetSocketAddress = addressOf(settings.callers)

    fun start() {
        writeSettings(settings.limits)
        process?.close()
        process = ProcessUnderTest.start("$name-soak", "yuccaferry.gateway.app.MainKt", listOf(file.path), HEAP_MEGABYTES)
        startCount++
    }

    fun signal(signal: Signal) {
        val current = process?.takeIf { it.alive } ?: return
        if (signal == Signal.KILL || signal == Signal.TERM) endingProcess = current
        current.signal(signal)
    }

    /** Waits for the end of the process and starts it again, if the process was sent TERM or KILL. */
    fun awaitEndAndStart() {
        val ending = endingProcess ?: return
        ending.awaitEnd()
        endingProcess = null
        start()
    }

    fun writeSettings(limits: GatewayLimits) =
        file.writeText(Json.encodeToString(GatewaySettings.serializer(), settings.copy(limits = limits)))

    /** Changes the repeat reserve in the settings file, so that the reload has an effect, and sends HUP. */
    fun reload() {
        writeSettings(settings.limits.copy(repeatReserve = settings.limits.repeatReserve + startCount))
        signal(Signal.HUP)
    }

    fun close() {
        process?.close()
        storeLink.stop()
        file.delete()
    }

    private companion object {
        const val HEAP_MEGABYTES = 64
    }
}

/** A target and its proxy, which a crash replaces; [address] is that of the proxy. */
internal class SoakTarget(
    val instance: InstanceStandIn,
    val serverAddress: HostPort,
) {
    var link = TcpProxy(ANY_PORT, serverAddress)
        private set
    lateinit var address: String
        private set
    var isCrashed = false
        private set

    suspend fun start() {
        address = link.start().toString()
    }

    /** Refuses all connections for [millis], then starts a new run at another address. */
    suspend fun crash(millis: Long) {
        isCrashed = true
        link.stop()
        delay(millis)
        link = TcpProxy(ANY_PORT, serverAddress)
        start()
        instance.restart(instance.id)
        isCrashed = false
    }
}

internal class SoakFleet(
    private val loop: EventLoop,
) {
    val store = StoreStandIn(loop)
    val daemons = mutableListOf<SoakDaemon>()
    val targets = mutableListOf<SoakTarget>()

    /** The newest configuration version that was written. */
    var version = 0
        private set
    private var restarts = 0

    suspend fun start() {
        val storeAddress = store.start()
        repeat(TARGETS) { targets += target(it) }
        targets.forEach { listTarget(it) }
        configure()
        repeat(DAEMONS) { daemons += daemon(it, HostPort("127.0.0.1", storeAddress.port)) }
        withContext(Dispatchers.IO) { daemons.forEach { it.start() } }
    }

    fun configure() {
        version++
        store.put(StandInKeys.CONFIGURATION, configurationDocument(version, KEY))
    }

    /** Restores the store from a copy that is [copyAgeMillis] old; then operators and targets write again what it lost. */
    suspend fun restoreStore(copyAgeMillis: Long) {
        val copy = store.copy()
        delay(copyAgeMillis)
        store.restore(copy)
        delay(REWRITE_MILLIS)
        store.writeAgain()
    }

    /** Waits until the store lists all daemons; returns those that it doesn't list within [millis]. */
    suspend fun awaitRegistrations(millis: Long): List<String> {
        fun missing() = daemons.map { it.name }.filterNot { store.contains("yuccaferry/daemons/$it") }
        withTimeoutOrNull(millis) { while (missing().isNotEmpty()) delay(POLL_MILLIS) }
        return missing()
    }

    fun listTarget(
        target: SoakTarget,
        isLeaving: Boolean = false,
    ) = store.put(StandInKeys.TARGETS + target.instance.id, target.instance.entry(target.address, isLeaving))

    /** Lists the target as leaving, removes it after [millis], and lists it again under a new id. */
    suspend fun drain(
        target: SoakTarget,
        millis: Long,
    ) {
        listTarget(target, isLeaving = true)
        delay(millis)
        runAnew(target)
    }

    /** Crashes the target unless it is down, and lists its next run. */
    suspend fun crash(target: SoakTarget) {
        if (target.isCrashed) return
        target.crash(CRASH_MILLIS)
        listTarget(target)
    }

    /** Removes the target, and lists its next run under a new id. */
    suspend fun runAnew(target: SoakTarget) {
        store.remove(StandInKeys.TARGETS + target.instance.id)
        target.instance.restart("${target.instance.service}-again-${++restarts}")
        target.instance.isLeaving = false
        listTarget(target)
    }

    fun close() {
        daemons.forEach { it.close() }
        targets.forEach { it.link.stop() }
    }

    private suspend fun target(number: Int): SoakTarget {
        val service = if (number % 2 == 0) "plain" else "engines"
        val instance = InstanceStandIn(loop, "$service-$number", service, zone = if (number < 2) ZONE else "other")
        return SoakTarget(instance, HostPort("127.0.0.1", instance.start().port)).also { it.start() }
    }

    private suspend fun daemon(
        number: Int,
        storeAddress: HostPort,
    ): SoakDaemon {
        val link = TcpProxy(ANY_PORT, storeAddress)
        val ports = List(3) { StablePorts.take() }
        val settings =
            GatewaySettings(
                settingsVersion = 1,
                name = "d$number",
                zone = ZONE,
                callers = "127.0.0.1:${ports[0]}",
                readiness = "127.0.0.1:${ports[1]}",
                metrics = "127.0.0.1:${ports[2]}",
                host = "127.0.0.1",
                internalPorts = listOf(StablePorts.take()),
                store = link.start().toString(),
                limits =
                    GatewayLimits(
                        coldBurstFactor = 1.5,
                        coldTolerance = 5.0,
                        repeatRatio = 0.2,
                        repeatReserve = 200.0,
                        repeatWindowSeconds = 10.0,
                        graceSeconds = 8.0,
                    ),
            )
        return SoakDaemon("d$number", settings, link)
    }

    internal companion object {
        const val DAEMONS = 4
        const val TARGETS = 6
        const val KEY = "key"
        const val ZONE = "z"

        /** Milliseconds after a crash until a target accepts connections again. */
        const val CRASH_MILLIS = 800L

        /** Milliseconds after a restore of the store until operators and targets have written again what it lost. */
        private const val REWRITE_MILLIS = 1_500L
        private const val POLL_MILLIS = 50L
    }
}

private val ANY_PORT = HostPort("127.0.0.1", 0)

internal fun addressOf(hostPort: String) = InetSocketAddress(hostPort.substringBefore(':'), hostPort.substringAfter(':').toInt())

/** Returns the proxy fault that holds the bytes of one direction. */
internal fun oneWayFault(isUpward: Boolean) = ProxyFaults(oneWay = if (isUpward) Direction.UP else Direction.DOWN)
