/*
 * Gateway processes with the heap and stack of the deploy file, beside a store and one target in the tests' process. Everything except the
 * processes is confined to the event loop.
 */
package yuccaferry.integration

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
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
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/** [size] gateways, all started by [start]. */
internal class GatewayFleet(
    private val name: String,
    private val size: Int,
) : AutoCloseable {
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

    /** Starts the gateways and waits until they are ready. */
    fun start() {
        val storePort =
            onLoop {
                store.put(StandInKeys.TARGETS + target.id, target.entry("127.0.0.1:${target.start().port}"))
                store.put(StandInKeys.CONFIGURATION, configurationDocument(version, KEY, routed = listOf(version)))
                store.start().port
            }
        repeat(size) { gateways += startGateway("$name-$it", storePort) }
        eventually("all gateways are ready", START_BOUND) { gateways.all { isReady(it) } }
    }

    override fun close() {
        gateways.forEach { it.process.close() }
        loop.close()
    }

    private fun startGateway(
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

    /** Lets the store return listings in pages of [items] items. */
    fun setPageSize(items: Int) = onLoop { store.pageSize = items }

    /** Writes an item into the store. */
    fun put(
        key: String,
        value: ByteArray,
    ) = onLoop { store.put(key, value) }

    fun putConfiguration(text: String) = put(StandInKeys.CONFIGURATION, text.toByteArray())

    /** Writes an entry among those of the targets. */
    fun putTarget(
        id: String,
        entry: String,
    ) = put(StandInKeys.TARGETS + id, entry.toByteArray())

    /** Writes a configuration that adds a route and drops the one before, and checks that each gateway acts on it in time. */
    fun assertNextConfigurationIsInForce() {
        val previous = version++
        onLoop { store.put(StandInKeys.CONFIGURATION, configurationDocument(version, KEY, routed = listOf(version))) }
        val older = gateways.toMutableSet()
        eventually("all gateways serve the added route", APPLY_BOUND) {
            older.removeIf { statusOf(it.settings.callers, "/v$version/") != 404 }
            older.isEmpty()
        }
        val runs = onLoop { target.arrivals.size }
        gateways.forEach { assertEquals(404, statusOf(it.settings.callers, "/v$previous/"), "on a dropped route of ${it.process.name}") }
        assertEquals(runs, onLoop { target.arrivals.size }, "requests that the target received")
        gateways.forEach { assertEquals(200, statusOf(it.settings.callers, "/v$version/"), "on an added route of ${it.process.name}") }
        gateways.forEach { assertEquals(true, isReady(it), "${it.process.name} is ready") }
    }

    private companion object {
        const val KEY = "key"

        /** Heap and stack of a gateway, as in `deploy/system.toml`. */
        const val HEAP_MEGABYTES = 160
        const val STACK_KILOBYTES = 256

        /** Time within which a configuration must be in force, a requirement of the users. */
        val APPLY_BOUND = 2.seconds
        val START_BOUND = 30.seconds
        const val REQUEST_MILLIS = 1_000L
    }
}
