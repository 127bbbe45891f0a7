/*
 * Daemons of one region that share a key-value service. Each daemon reaches it through its own proxy, so that single
 * daemons can be cut off from it. There are no targets, as the tests check only the configuration.
 */
package yuccaferry.integration.configuration

import kotlinx.serialization.json.Json
import yuccaferry.app.DaemonSettings
import yuccaferry.app.Listener
import yuccaferry.app.PeerSeed
import yuccaferry.app.PlatformSettings
import yuccaferry.http.admin.OperatorToken
import yuccaferry.integration.HttpCalls
import yuccaferry.integration.InstancesStandIn
import yuccaferry.integration.KeyValueStandIn
import yuccaferry.integration.ProcessUnderTest
import yuccaferry.integration.ProxyStandIn
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.AdminJson
import yuccaferry.model.admin.ChangeAnswer
import java.io.File
import java.net.http.HttpResponse
import java.security.MessageDigest
import kotlin.time.Duration.Companion.seconds

internal const val TOKEN = "token-of-the-test-operator"
private const val HEAP_MEGABYTES = 128
private val ANY_PORT = Listener("127.0.0.1", 0)
private val REGION = RegionName("r")

/** A daemon and its proxy to the key-value service. */
internal class ConfiguredDaemon(
    private val process: ProcessUnderTest,
    val keyValueProxy: ProxyStandIn,
) : AutoCloseable {
    val admin: String by lazy { process.address("admin") }
    val peer: Address by lazy { Address(process.address("peers")) }

    fun signal(signal: Signal) = process.signal(signal)

    /** The configuration in force at this daemon. */
    fun configuration(): Configuration = AdminJson.decodeFromString(get("/v1/configuration").body())

    fun version(): Long = configuration().version.value

    fun isReady(): Boolean = get("/ready").statusCode() == 200

    fun get(path: String): HttpResponse<String> = HttpCalls.get(admin, path, operator)

    fun post(
        path: String,
        body: String = "",
    ): HttpResponse<String> = HttpCalls.post(admin, path, body, operator)

    fun apply(
        weight: Int,
        base: Long,
    ): HttpResponse<String> = post("/v1/configuration?base=$base", operatorFile(weight))

    override fun close() {
        process.close()
        keyValueProxy.close()
    }

    private companion object {
        val operator = mapOf("Authorization" to "Bearer $TOKEN")
    }
}

internal class ConfigurationFleet(
    count: Int,
) : AutoCloseable {
    val keyValue = KeyValueStandIn("configuration-store")
    private val instances = InstancesStandIn("configuration-list")
    private val started = mutableListOf<ConfiguredDaemon>()
    val daemons: List<ConfiguredDaemon> get() = started

    init {
        repeat(count) { start() }
        check(daemons.first().apply(weight = 1, base = 0).statusCode() == 200)
        eventually("every daemon is ready", 30.seconds) { daemons.all { it.isReady() } }
    }

    /** Starts one more daemon with [seeds] as its peers; its proxy has the faults [proxyFaults]. */
    fun start(
        seeds: List<ConfiguredDaemon> = daemons,
        proxyFaults: String = "{}",
    ): ConfiguredDaemon {
        val name = "configured-${started.size + 1}"
        val proxy = ProxyStandIn("proxy-$name", keyValue.address)
        proxy.setFaults(proxyFaults)
        val settings =
            DaemonSettings(
                settingsVersion = 1,
                name = name,
                region = REGION,
                zone = ZoneName("a"),
                callers = ANY_PORT,
                admin = ANY_PORT,
                peers = ANY_PORT,
                platform = PlatformSettings(listOf(Address(proxy.address)), Address(instances.address)),
                operators = listOf(OperatorToken("kata", sha256(TOKEN))),
                peerSeeds = seeds.map { PeerSeed(it.peer, REGION) },
            )
        val file = File.createTempFile(name, ".json", File("target")).apply { writeText(Json.encodeToString(settings)) }
        val process = ProcessUnderTest.start(name, "yuccaferry.app.MainKt", listOf("--settings", file.path), HEAP_MEGABYTES)
        return ConfiguredDaemon(process, proxy).also { started += it }
    }

    override fun close() {
        daemons.forEach { it.close() }
        instances.close()
        keyValue.close()
    }
}

internal fun HttpResponse<String>.change(): ChangeAnswer {
    check(statusCode() == 200) { "${statusCode()} ${body()}" }
    return AdminJson.decodeFromString(body())
}

internal fun operatorFile(weight: Int): String =
    """{"format":1,"zones":[{"name":"a","region":"r"},{"name":"b","region":"r"}],"models":[{"name":"m","version":"1"}],
    "accounts":[{"name":"acc","keySha256":["${"0".repeat(64)}"],"serves":["m"],"weight":$weight}]}"""

private fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
