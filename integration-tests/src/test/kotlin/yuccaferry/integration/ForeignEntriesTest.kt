/*
 * Gateway processes beside a store into which another writer puts entries of any form. Each test writes such entries and then a
 * configuration; all share the processes, as entries and configurations follow each other in a store.
 */
package yuccaferry.integration

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.app.GatewaySettings
import yuccaferry.gateway.net.EventLoop
import yuccaferry.integration.soak.StablePorts
import yuccaferry.platform.parseAddress
import yuccaferry.platform.standin.CallerRequest
import yuccaferry.platform.standin.CallerStandIn
import yuccaferry.platform.standin.InstanceStandIn
import yuccaferry.platform.standin.StandInKeys
import yuccaferry.platform.standin.StoreStandIn
import yuccaferry.platform.standin.configurationDocument
import java.io.File
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ForeignEntriesTest {
    private val loop = EventLoop()
    private val store = StoreStandIn(loop)
    private val target = InstanceStandIn(loop, "target", "plain", "z")
    private val caller = CallerStandIn(loop, KEY)
    private val gateways = mutableListOf<Gateway>()
    private var version = 1
    private var requests = 0

    private class Gateway(
        val settings: GatewaySettings,
        val process: ProcessUnderTest,
    )

    private fun <T> onLoop(action: suspend () -> T): T = runBlocking(loop.scope.coroutineContext) { action() }

    @BeforeAll
    fun start() {
        val storePort =
            onLoop {
                store.put(StandInKeys.TARGETS + target.id, target.entry("127.0.0.1:${target.start().port}"))
                store.put(StandInKeys.CONFIGURATION, configurationDocument(version, KEY, routed = listOf(version)))
                store.start().port
            }
        repeat(GATEWAYS) { gateways += start("foreign-entries-$it", storePort) }
        eventually("all gateways are ready", START_BOUND) { gateways.all { isReady(it) } }
    }

    @AfterAll
    fun close() {
        gateways.forEach { it.process.close() }
        loop.close()
    }

    private fun start(
        name: String,
        storePort: Int,
    ): Gateway {
        val settings =
            GatewaySettings(
                settingsVersion = 1,
                name = name,
                zone = "z",
                callers = "127.0.0.1:${StablePorts.take()}",
                readiness = "127.0.0.1:${StablePorts.take()}",
                metrics = "127.0.0.1:${StablePorts.take()}",
                host = "127.0.0.1",
                internalPorts = listOf(StablePorts.take()),
                store = "127.0.0.1:$storePort",
                limits = GatewayLimits(1.5, 5.0, 0.2, 100.0, 10.0, 8.0),
            )
        val file = File.createTempFile(name, ".json", File("target"))
        file.writeText(Json.encodeToString(GatewaySettings.serializer(), settings))
        val main = "yuccaferry.gateway.app.MainKt"
        return Gateway(settings, ProcessUnderTest.start(name, main, listOf(file.path), HEAP_MEGABYTES, STACK_KILOBYTES))
    }

    private fun statusOf(
        address: String,
        path: String,
    ): Int? =
        onLoop {
            val request = CallerRequest("request-${++requests}", path, REQUEST_MILLIS)
            caller.send(checkNotNull(parseAddress(address)), request).status
        }

    private fun isReady(gateway: Gateway) = statusOf(gateway.settings.readiness, "/-/readiness") == 200

    private fun put(
        id: String,
        entry: String,
    ) = onLoop { store.put(StandInKeys.TARGETS + id, entry) }

    /** Writes a configuration that adds a route and drops the one before, and checks that each gateway acts on it in time. */
    private fun assertNextConfigurationIsInForce() {
        val previous = version++
        onLoop { store.put(StandInKeys.CONFIGURATION, configurationDocument(version, KEY, routed = listOf(version))) }
        val older = gateways.toMutableSet()
        eventually("all gateways serve the added route", APPLY_BOUND) {
            older.removeIf { statusOf(it.settings.callers, "/v$version/") != 404 }
            older.isEmpty()
        }
        gateways.forEach { assertEquals(404, statusOf(it.settings.callers, "/v$previous/"), "on a dropped route of ${it.process.name}") }
        gateways.forEach { assertEquals(200, statusOf(it.settings.callers, "/v$version/"), "on an added route of ${it.process.name}") }
        gateways.forEach { assertEquals(true, isReady(it), "${it.process.name} is ready") }
    }

    @Nested
    inner class `a configuration is in force in time after` {
        /** Guards against entries whose decoding overflowed the stack and ended the task that follows the store, without a sign. */
        @Test
        fun `entries that are nested deeply`() {
            for (depth in listOf(300, 5_000, 100_000)) {
                put("arrays-$depth", """{"service":${"[".repeat(depth)}""")
                put("objects-$depth", """{"service":${"""{"a":""".repeat(depth)}1${"}".repeat(depth)}}""")
                put("start-$depth", entry(born = "[".repeat(depth) + "]".repeat(depth)))
            }
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries that are no objects or lack fields`() {
            listOf("", "null", "17", "\"text\"", "[]", "{}", "{\"service\":").forEachIndexed { number, text -> put("form-$number", text) }
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries with values of other types`() {
            put("nulls", entry(service = "null", address = "null", slots = "null", cold = "null", born = "null"))
            put("objects", entry(service = "{}", address = "[]", slots = "{}", cold = "[]", born = "{}"))
            put("texts", entry(slots = "\"4\"", cold = "\"0\"", born = "\"${"x".repeat(20_000)}\""))
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries with values out of range`() {
            listOf("0", "-1", "4294967296", "1e300", "NaN").forEach { put("slots$it", entry(slots = it)) }
            listOf("-1e300", "9223372036854775807", "1e300").forEach { put("cold$it", entry(cold = it)) }
            listOf("-1", "1.5e9", "9".repeat(5_000)).forEach { put("born${it.take(5)}", entry(born = it)) }
            listOf("127.0.0.1:0", "127.0.0.1:70000", "0.0.0.0:9", "255.255.255.255:9", "999.0.0.1:9", "localhost:9", ":", "")
                .forEach { put("address$it", entry(address = "\"$it\"")) }
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries that are no text`() {
            val random = Random(SEED)
            repeat(20) { number -> onLoop { store.put("${StandInKeys.TARGETS}bytes-$number", random.nextBytes(300)) } }
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `an entry of the largest size`() {
            put("large", """{"service":"""".padEnd(MAX_VALUE_BYTES, 'x'))
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `hundreds of entries at once`() {
            repeat(400) { put("many-$it", "{".repeat(it)) }
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries of daemons that name no address`() {
            listOf("", " ", "127.0.0.1:0 z", "255.255.255.255:9 z", "localhost:9 z", "[".repeat(100_000))
                .forEachIndexed { number, text -> onLoop { store.put("yuccaferry/daemons/$number", text) } }
            assertNextConfigurationIsInForce()
        }

        @Test
        fun `configurations that can't be read`() {
            for (text in listOf("", "{}", "{\"version\":${"[".repeat(10_000)}")) {
                onLoop { store.put(StandInKeys.CONFIGURATION, text) }
                assertNextConfigurationIsInForce()
            }
        }
    }

    private fun entry(
        service: String = "\"plain\"",
        address: String = "\"127.0.0.1:9\"",
        slots: String = "4",
        cold: String = "0",
        born: String = "1",
    ) = """{"service":$service,"address":$address,"zone":"z","state":"draining","slots":$slots,"cold-remaining-ms":$cold,"born":$born}"""

    private companion object {
        const val KEY = "key"
        const val GATEWAYS = 4
        const val SEED = 40

        /** Heap and stack of a gateway, as in `deploy/system.toml`. */
        const val HEAP_MEGABYTES = 160
        const val STACK_KILOBYTES = 256

        /** Largest value that the platform's store accepts, in bytes. */
        const val MAX_VALUE_BYTES = 1_048_576

        /** Time within which a configuration must be in force, a requirement of the users. */
        val APPLY_BOUND = 2.seconds
        val START_BOUND = 30.seconds
        const val REQUEST_MILLIS = 1_000L
    }
}
