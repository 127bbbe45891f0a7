// Entry point of `yuccaferry-gateway`, the daemon that forwards requests.
package yuccaferry.gateway.app

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import yuccaferry.daemon.port.Field
import yuccaferry.gateway.GatewayDaemon
import yuccaferry.gateway.UncaughtFailures
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.request.TargetNotices
import yuccaferry.gateway.view.FleetView
import yuccaferry.model.DaemonName
import yuccaferry.model.ZoneName
import yuccaferry.platform.EngineMemoryClient
import yuccaferry.platform.PlatformAdapter
import yuccaferry.platform.PlatformHeaders
import yuccaferry.platform.parseAddress
import yuccaferry.telemetry.DaemonTelemetry
import yuccaferry.telemetry.logToStandardOutput
import java.io.IOException
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

private const val SETTINGS_VARIABLE = "YUCCAFERRY_NODE_FILE"
private const val EXIT_USAGE = 2
private const val EXIT_START = 3

fun main(arguments: Array<String>) {
    val signals = ProcessSignals().also { it.install() }
    logToStandardOutput()
    val parser = ArgParser("yuccaferry-gateway")
    val path by parser.argument(ArgType.String, "settings", "path of the JSON settings; that in $SETTINGS_VARIABLE if omitted").optional()
    val checkOnly by parser.option(ArgType.Boolean, "check-settings", description = "check the settings and exit").default(false)
    val script by parser.option(ArgType.String, "rehearse", description = "run a scripted start from this file and exit")
    parser.parse(arguments)
    script?.let { runTraining(Path.of(it)) }
    val file =
        try {
            SettingsFile(
                Path.of(requireNotNull(path ?: System.getenv(SETTINGS_VARIABLE)) { "no settings: pass a path or set $SETTINGS_VARIABLE" }),
            )
        } catch (invalid: IllegalArgumentException) {
            fail(invalid.message)
        } catch (unreadable: IOException) {
            fail("settings: can't be read: $unreadable")
        }
    if (checkOnly) return
    run(file, signals)
}

private fun runTraining(path: Path): Nothing {
    val statuses = TrainingRun.read(path).run()
    if (statuses.any { it != TrainingRun.STATUS_OK }) fail("rehearsal $path: expected only status 200, found $statuses")
    exitProcess(0)
}

private fun fail(message: String?): Nothing {
    System.err.println(message)
    exitProcess(EXIT_USAGE)
}

/**
 * Starts a daemon with the settings in [file] and returns while it runs; SIGTERM stops it and SIGHUP reloads the settings. Ends the
 * process with status 3 if an address can't be bound.
 */
internal fun run(
    file: SettingsFile,
    signals: ProcessSignals = ProcessSignals(),
) {
    val settings = file.current
    val telemetry = DaemonTelemetry(settings.name)
    val random = Random(System.nanoTime())
    val failures = UncaughtFailures(telemetry)
    Thread.setDefaultUncaughtExceptionHandler(failures)
    val loop = EventLoop(failures)
    val fleet = FleetView(telemetry)
    val notices = TargetNotices(loop, DaemonName(settings.name), telemetry)
    val memory = EngineMemoryClient(HttpClientConnector(loop), notices, telemetry)
    val daemon =
        GatewayDaemon(
            loop,
            settings.name,
            ZoneName(settings.zone),
            fleet,
            PlatformHeaders(),
            memory,
            notices,
            { file.current.limits },
            telemetry,
            random,
        )
    val peerAddress = InetSocketAddress(settings.host, settings.internalPorts.first())
    val platform =
        PlatformAdapter(
            loop,
            address("store", settings.store),
            settings.name,
            ZoneName(settings.zone),
            "${settings.host}:${peerAddress.port}",
            fleet,
            daemon.peers,
            telemetry,
            random,
            settings.timing,
        )
    handleSignals(signals, loop, file, daemon, platform, telemetry)
    try {
        runBlocking(loop.scope.coroutineContext) {
            daemon.listen(
                callersAddress = address("callers", settings.callers),
                readinessAddress = address("readiness", settings.readiness),
                metricsAddress = address("metrics", settings.metrics),
                metrics = telemetry::scrape,
            )
            daemon.peers.open(peerAddress)
            daemon.tasks.start("peers") { daemon.peers.keepOpen(peerAddress, it) }
            platform.start(daemon.tasks)
            daemon.tasks.start("settings") { file.follow(telemetry, it) }
            daemon.tasks.start("status", isRequired = false) { logStatus(telemetry) { daemon.statistics + platform.statistics } }
        }
    } catch (unavailable: IOException) {
        // Without the halt, the event loop's thread would keep a process running that answers only with 503.
        System.err.println("start failed: ${unavailable.message}; check the addresses in the settings")
        Runtime.getRuntime().halt(EXIT_START)
    }
    telemetry.event("started", Field("after_ms", System.currentTimeMillis() - ManagementFactory.getRuntimeMXBean().startTime))
}

/** Reloads the settings on SIGHUP, and stops the process on SIGTERM once its callers are served. */
private fun handleSignals(
    signals: ProcessSignals,
    loop: EventLoop,
    file: SettingsFile,
    daemon: GatewayDaemon,
    platform: PlatformAdapter,
    telemetry: DaemonTelemetry,
) = signals.attach(
    onReload = { loop.scope.launch { file.reload(telemetry) } },
    onTerminate = {
        loop.scope.launch {
            try {
                daemon.leave(deregister = platform::leave)
            } finally {
                Runtime.getRuntime().halt(0)
            }
        }
    },
)

private fun address(
    field: String,
    text: String,
): InetSocketAddress = requireNotNull(parseAddress(text)) { "settings: $field: expected a.b.c.d:port, found $text" }
