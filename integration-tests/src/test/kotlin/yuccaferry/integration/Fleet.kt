/*
 * A fleet on loopback: stand-ins of the platform, at least one engine in each of two zones, a plain service, a proxy in
 * front of each target, and daemons that serve one model and one service to one client account.
 */
package yuccaferry.integration

import kotlinx.serialization.json.Json
import yuccaferry.app.ControlSettings
import yuccaferry.app.DaemonSettings
import yuccaferry.app.LimitSettings
import yuccaferry.app.Listener
import yuccaferry.app.PlatformSettings
import yuccaferry.http.admin.OperatorToken
import yuccaferry.model.AccountEntry
import yuccaferry.model.AccountName
import yuccaferry.model.Address
import yuccaferry.model.EngineLimits
import yuccaferry.model.ModelEntry
import yuccaferry.model.ModelVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.PlainServiceEntry
import yuccaferry.model.RegionName
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneEntry
import yuccaferry.model.ZoneName
import java.io.File
import java.security.MessageDigest
import kotlin.time.Duration.Companion.seconds

internal const val MODEL = "m"
internal const val SERVICE = "desk"
internal const val API_KEY = "key-of-the-test-account"
internal const val OPERATOR_TOKEN = "token-of-the-test-operator"

/** Stall limit of the daemons under test. Like the other limits below, it is short so that a failure is detected within a test. */
internal const val STALL_MILLIS = 1_500L
private const val POLL_MILLIS = 100L
private const val MOST_ROUNDS = 20
private const val REQUESTS_TO_FILL_BUDGET = 50
private const val LEASE_MILLIS = 3_000L
private const val ORPHAN_GRACE_MILLIS = 2_000L
private const val DAEMON_HEAP_MEGABYTES = 128
private val REGION = RegionName("r")
private val ZONES = listOf(ZoneName("zone-a"), ZoneName("zone-b"))
private val ANY_PORT = Listener("127.0.0.1", 0)

/** An engine, the proxy in front of it, and its name in the instance list. */
internal class ProxiedEngine(
    val target: TargetId,
    val zone: ZoneName,
    val engine: EngineStandIn,
) : AutoCloseable {
    val proxy = ProxyStandIn("proxy-$target", engine.address)

    /** Removes all faults of the engine and of the proxy. */
    fun clearFaults() {
        engine.clearFaults()
        proxy.clearFaults()
    }

    override fun close() {
        proxy.close()
        engine.close()
    }
}

/** One daemon as a process. */
internal class DaemonUnderTest(
    val process: ProcessUnderTest,
) {
    val callers: String by lazy { process.address("callers") }
    val admin: String by lazy { process.address("admin") }
}

/**
 * The processes of one test class, started once.
 *
 * @param limits the engine limits in the operators' file.
 * @param enginesPerZone number of engines in each of the two zones.
 */
internal class Fleet(
    daemonCount: Int = 1,
    private val limits: EngineLimits = EngineLimits(kvTokens = 400_000),
    enginesPerZone: Int = 1,
    vararg engineOptions: String = arrayOf("--start-warm", "--decode-tokens-per-second", "100", "--prefill-tokens-per-second", "2000"),
) : AutoCloseable {
    val keyValue = KeyValueStandIn()
    val instances = InstancesStandIn()
    private val service = ServiceStandIn("desk-1")
    private val names = ZONES.flatMap { zone -> (1..enginesPerZone).map { zone to if (it == 1) "engine-$zone" else "engine-$zone-$it" } }
    private val engines = names.map { (_, name) -> EngineStandIn(name, "--model", MODEL, *engineOptions) }
    val proxiedEngines = names.zip(engines) { (zone, name), engine -> ProxiedEngine(TargetId(name), zone, engine) }
    val serviceProxy = ProxyStandIn("proxy-service", service.address)
    val plainService: ServiceStandIn get() = service
    val daemons: List<DaemonUnderTest>

    init {
        instances.replace(targets())
        daemons = (1..daemonCount).map { DaemonUnderTest(startDaemon("daemon-$it")) }
        applyOperatorFile()
        daemons.forEach { daemon -> eventually("${daemon.process.name} serves", 30.seconds) { serves(daemon) } }
    }

    /**
     * Sets [fault] on one engine and calls [round] with the round's number until that engine has accepted a request.
     * Placement decides which engine receives a request, so a round may miss the fault.
     */
    fun untilFaultIsHit(
        fault: String,
        round: (Int) -> Unit,
    ) {
        fillRetryBudget()
        val engine = preferredEngine(fault)
        engine.setFaults(fault)
        val before = engine.stats().accepted
        for (number in 1..MOST_ROUNDS) {
            round(number)
            if (engine.stats().accepted > before) return
        }
        error("no request reached the engine with the fault $fault")
    }

    /** Sends requests that succeed, which fills the account's retry budget. */
    fun fillRetryBudget() = repeat(REQUESTS_TO_FILL_BUDGET) { Caller(daemons.first().callers).stream("earn $it", pieces = 1) }

    private fun preferredEngine(prompt: String): EngineStandIn {
        val before = proxiedEngines.map { it.engine.stats().accepted }
        Caller(daemons.first().callers).stream(prompt, pieces = 1)
        return proxiedEngines.filterIndexed { i, proxied -> proxied.engine.stats().accepted > before[i] }.single().engine
    }

    /** Starts one more daemon and waits until it is ready. */
    fun addDaemon(name: String): DaemonUnderTest {
        val daemon = DaemonUnderTest(startDaemon(name))
        eventually("$name is ready", 30.seconds) { serves(daemon) }
        return daemon
    }

    /** Takes [zone] out of service or brings it back through the first daemon. */
    fun setZone(
        zone: ZoneName,
        out: Boolean,
    ) {
        val path = "/v1/zones/$zone/${if (out) "out" else "in"}"
        val answer = HttpCalls.post(daemons.first().admin, path, "", mapOf("Authorization" to "Bearer $OPERATOR_TOKEN"))
        check(answer.statusCode() == 200) { answer.body() }
    }

    /** Waits until no engine holds memory. */
    fun awaitNoMemoryHeld() =
        eventually("no engine holds memory: ${proxiedEngines.map { it.engine.stats().requests }}", 15.seconds) {
            proxiedEngines.all { it.engine.stats().kvHeldTokens == 0L }
        }

    /** Removes all faults. */
    fun clearFaults() {
        proxiedEngines.forEach { it.clearFaults() }
        service.clearFaults()
        serviceProxy.clearFaults()
        keyValue.clearFaults()
    }

    override fun close() {
        daemons.forEach { it.process.close() }
        proxiedEngines.forEach { it.close() }
        listOf(serviceProxy, service, instances, keyValue).forEach { it.close() }
    }

    private fun targets() =
        proxiedEngines.map { Target(it.target, TargetKind.ENGINE, ServiceName(MODEL), it.zone, Address(it.proxy.address)) } +
            Target(TargetId("desk-1"), TargetKind.SERVICE, ServiceName(SERVICE), ZONES.first(), Address(serviceProxy.address))

    private fun startDaemon(name: String): ProcessUnderTest {
        val settings =
            DaemonSettings(
                settingsVersion = 1,
                name = name,
                region = REGION,
                zone = ZONES.first(),
                callers = ANY_PORT,
                admin = ANY_PORT,
                peers = ANY_PORT,
                platform = PlatformSettings(listOf(Address(keyValue.address)), Address(instances.address)),
                operators = listOf(OperatorToken("operator", sha256(OPERATOR_TOKEN))),
                limits = LimitSettings(firstPieceStallMillis = STALL_MILLIS, pieceStallMillis = STALL_MILLIS, drainLagMillis = 500),
                control =
                    ControlSettings(
                        seatsPerRegion = 8,
                        leaseMillis = LEASE_MILLIS,
                        configurationPollMillis = POLL_MILLIS,
                        instancePollMillis = POLL_MILLIS,
                        observeMillis = POLL_MILLIS,
                        orphanGraceMillis = ORPHAN_GRACE_MILLIS,
                    ),
            )
        val file = File.createTempFile(name, ".json", File("target")).apply { writeText(Json.encodeToString(settings)) }
        return ProcessUnderTest.start(name, "yuccaferry.app.MainKt", listOf("--settings", file.path), DAEMON_HEAP_MEGABYTES)
    }

    private fun applyOperatorFile() {
        val file = Json.encodeToString(operatorFile())
        val headers = mapOf("Authorization" to "Bearer $OPERATOR_TOKEN")
        eventually("the operators' file is accepted", 30.seconds) {
            HttpCalls.post(daemons.first().admin, "/v1/configuration?base=0", file, headers).statusCode() in setOf(200, 409)
        }
    }

    private fun operatorFile() =
        OperatorFile(
            format = 1,
            zones = ZONES.map { ZoneEntry(it, REGION) },
            models = listOf(ModelEntry(ServiceName(MODEL), ModelVersion("1"), engine = limits)),
            services = listOf(PlainServiceEntry(ServiceName(SERVICE))),
            accounts =
                listOf(
                    AccountEntry(
                        name = AccountName("account"),
                        keySha256 = listOf(sha256(API_KEY)),
                        serves = listOf(ServiceName(MODEL), ServiceName(SERVICE)),
                        deadlineSeconds = 30,
                    ),
                ),
        )

    private fun serves(daemon: DaemonUnderTest): Boolean =
        HttpCalls.get(daemon.admin, "/ready").statusCode() == 200 && Caller(daemon.callers).stream("warm-up", pieces = 1).complete
}

/** The fleet of the tests that need no special settings; its processes end with the tests' JVM. */
internal object SharedFleet {
    val fleet by lazy { Fleet() }
}

internal fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
