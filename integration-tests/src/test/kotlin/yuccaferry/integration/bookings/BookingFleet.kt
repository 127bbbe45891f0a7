/*
 * Daemons in front of one plain service that counts its runs by key. Each daemon reaches the key-value service through
 * its own proxy, and all reach the plain service through a proxy, so that every step of a booking can be held or cut.
 */
package yuccaferry.integration.bookings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import yuccaferry.app.ControlSettings
import yuccaferry.app.DaemonSettings
import yuccaferry.app.LimitSettings
import yuccaferry.app.Listener
import yuccaferry.app.PlatformSettings
import yuccaferry.daemon.port.StoredValue
import yuccaferry.decisions.ledger.LedgerKey
import yuccaferry.http.admin.OperatorToken
import yuccaferry.integration.HttpCalls
import yuccaferry.integration.InstancesStandIn
import yuccaferry.integration.KeyValueStandIn
import yuccaferry.integration.ProcessUnderTest
import yuccaferry.integration.ProxyStandIn
import yuccaferry.integration.ServiceStandIn
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import yuccaferry.model.AccountEntry
import yuccaferry.model.AccountName
import yuccaferry.model.Address
import yuccaferry.model.OperatorFile
import yuccaferry.model.PlainServiceEntry
import yuccaferry.model.RegionName
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneEntry
import yuccaferry.model.ZoneName
import yuccaferry.platform.EtcdKeyValueStore
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

private const val API_KEY = "key-of-the-test-account"
private const val OPERATOR_TOKEN = "token-of-the-test-operator"
private const val LEASE_MILLIS = 3_000L
private const val POLL_MILLIS = 200L
private const val DAEMON_HEAP_MEGABYTES = 128
private val ACCOUNT = AccountName("parish")
private val SERVICE = ServiceName("desk")
private val REGION = RegionName("r")
private val ZONE = ZoneName("zone-a")
private val ANY_PORT = Listener("127.0.0.1", 0)

/** The result of one call as the caller received it. */
internal sealed interface BookingResult {
    data class Success(
        val receipt: String,
        val replayed: Boolean,
    ) : BookingResult

    data class Refused(
        val code: String,
        val execution: String,
    ) : BookingResult

    /** The connection to the daemon broke. */
    data object Nothing : BookingResult
}

internal val BookingResult.notRun: Boolean get() = this is BookingResult.Refused && execution == "not_run"

/** One daemon, which can be restarted after it was killed. */
internal class BookingDaemon(
    private val fleet: BookingFleet,
    val name: String,
) : AutoCloseable {
    val storeProxy = ProxyStandIn("store-of-$name", fleet.keyValue.address)

    @Volatile
    var process = start()
        private set

    val admin: String get() = process.address("admin")

    /** Kills the daemon and starts it again. */
    fun killAndRestart() {
        process.signal(Signal.KILL)
        restart()
    }

    /** Starts the daemon again in a new process. */
    fun restart() {
        process.close()
        process = start()
    }

    /** Returns whether the daemon runs, reports ready and forwards a call. */
    fun ready(): Boolean =
        process.alive && HttpCalls.get(admin, "/ready").statusCode() == 200 &&
            HttpCalls.get(process.address("callers"), "/services/$SERVICE/open", AUTHORIZATION).statusCode() == 200

    /** Returns the number of bookings that are claimed, running or waiting for their outcome to be written. */
    fun pending(): Int = metric("yuccaferry_ledger_pending") ?: error("no number of pending bookings")

    /** Returns the number of claims that were sent to the store. */
    fun claims(): Int = metric("yuccaferry_ledger_writes", "step=\"claim\"") ?: 0

    private fun metric(
        name: String,
        label: String = "",
    ): Int? =
        HttpCalls
            .get(admin, "/metrics")
            .body()
            .lineSequence()
            .firstOrNull { it.startsWith(name) && label in it }
            ?.substringAfterLast(' ')
            ?.toDouble()
            ?.toInt()

    /** Sends one booking with the idempotency key [key], or without a key when null. */
    fun book(
        key: String?,
        deadlineMillis: Long = 20_000,
        body: String = "5 EUR",
    ): CompletableFuture<BookingResult> {
        val request =
            HttpCalls
                .request(process.address("callers"), "/services/$SERVICE/pledges", AUTHORIZATION)
                .header("X-Deadline-Ms", "$deadlineMillis")
                .POST(BodyPublishers.ofString(body))
        if (key != null) request.header("Idempotency-Key", key)
        return HttpCalls.client.sendAsync(request.build(), BodyHandlers.ofString()).handle { response, error ->
            if (error != null) BookingResult.Nothing else resultOf(response)
        }
    }

    override fun close() {
        process.close()
        storeProxy.close()
    }

    private fun start(): ProcessUnderTest {
        val file = File.createTempFile(name, ".json", File("target"))
        file.writeText(Json.encodeToString(fleet.settings(name, storeProxy.address)))
        return ProcessUnderTest.start(name, "yuccaferry.app.MainKt", listOf("--settings", file.path), DAEMON_HEAP_MEGABYTES)
    }
}

internal class BookingFleet(
    daemonCount: Int,
) : AutoCloseable {
    val keyValue = KeyValueStandIn()
    private val instances = InstancesStandIn()
    val service = ServiceStandIn("desk-1")
    val serviceProxy = ProxyStandIn("proxy-desk", service.address)
    private val store = EtcdKeyValueStore(listOf(Address(keyValue.address)), timeoutMillis = 5_000)
    val daemons: List<BookingDaemon>

    init {
        listService(serviceProxy.address)
        daemons = (1..daemonCount).map { BookingDaemon(this, "daemon-$it") }
        eventually("the operators' file is accepted", 30.seconds) {
            val headers = mapOf("Authorization" to "Bearer $OPERATOR_TOKEN")
            val answer = HttpCalls.post(daemons.first().admin, "/v1/configuration?base=0", Json.encodeToString(operatorFile()), headers)
            answer.statusCode() in setOf(200, 409)
        }
        eventually("all daemons serve", 60.seconds) { daemons.all { it.ready() } }
    }

    /** Sets the service's address in the instance list to [address]. */
    fun listService(address: String) =
        instances.replace(listOf(Target(TargetId("desk-1"), TargetKind.SERVICE, SERVICE, ZONE, Address(address))))

    /** Returns the ledger's stored record of [key], or null if there is none. */
    fun record(key: String): String? = runBlocking { store.read(LedgerKey.of(ACCOUNT, SERVICE, key).value) }.unwrap()?.value

    /**
     * Waits for a ready daemon other than [except]. Prefers one that decides on the service's grants if [holdsShard] is true,
     * and one that does not otherwise. Shards may move at any time, so the result may be outdated.
     */
    fun awaitReady(
        holdsShard: Boolean,
        except: BookingDaemon? = null,
    ): BookingDaemon {
        var ready = emptyList<BookingDaemon>()
        eventually("a daemon serves", 30.seconds) {
            ready = daemons.filter { it !== except && it.ready() }
            ready.isNotEmpty()
        }
        return ready.firstOrNull { it.holdsShard() == holdsShard } ?: ready.first()
    }

    /** Returns whether the daemon holds a shard. Retries the read, as an earlier fault may have left the store in an outage. */
    private fun BookingDaemon.holdsShard(): Boolean {
        var shards = emptyList<StoredValue>()
        eventually("the shards can be read", 10.seconds) {
            val read = runBlocking { store.readPrefix("yuccaferry/control/seats/") }
            shards = read.get()?.values.orEmpty()
            read.isOk
        }
        return shards.any { name in it.value }
    }

    /** Waits until the record of [key] is in [state]. */
    fun awaitRecord(
        key: String,
        state: String,
    ) = eventually("the record of $key is $state, not ${record(key)}", 15.seconds) {
        record(key)?.contains("\"type\":\"$state\"") == true
    }

    /** Removes all faults and restarts killed daemons, without waiting until they are ready. */
    fun clearFaults() {
        keyValue.clearFaults()
        service.clearFaults()
        serviceProxy.clearFaults()
        daemons.forEach { it.storeProxy.clearFaults() }
        daemons.filterNot { it.process.alive }.forEach { it.restart() }
    }

    override fun close() {
        daemons.forEach { it.close() }
        listOf(serviceProxy, service, instances, keyValue).forEach { it.close() }
        store.close()
    }

    fun settings(
        name: String,
        storeAddress: String,
    ) = DaemonSettings(
        settingsVersion = 1,
        name = name,
        region = REGION,
        zone = ZONE,
        callers = ANY_PORT,
        admin = ANY_PORT,
        peers = ANY_PORT,
        platform = PlatformSettings(listOf(Address(storeAddress)), Address(instances.address), timeoutMillis = 1_000),
        operators = listOf(OperatorToken("operator", sha256(OPERATOR_TOKEN))),
        limits = LimitSettings(drainLagMillis = 200),
        control =
            ControlSettings(
                seatsPerRegion = 1,
                leaseMillis = LEASE_MILLIS,
                configurationPollMillis = POLL_MILLIS,
                instancePollMillis = POLL_MILLIS,
            ),
    )

    private fun operatorFile() =
        OperatorFile(
            format = 1,
            zones = listOf(ZoneEntry(ZONE, REGION)),
            models = emptyList(),
            services = listOf(PlainServiceEntry(SERVICE)),
            accounts =
                listOf(
                    AccountEntry(
                        name = ACCOUNT,
                        keySha256 = listOf(sha256(API_KEY)),
                        serves = listOf(SERVICE),
                        deadlineSeconds = 30,
                    ),
                ),
        )

    companion object {
        /** The fleet that all booking tests share; its processes end with the tests' JVM. */
        val shared by lazy { BookingFleet(daemonCount = 3) }
    }
}

/** Returns an address at which nothing listens. */
internal fun closedAddress(): String = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }

private val AUTHORIZATION = mapOf("Authorization" to "Bearer $API_KEY")

private fun resultOf(response: HttpResponse<String>): BookingResult {
    if (response.statusCode() < 300) {
        return BookingResult.Success(response.body(), response.headers().firstValue("Idempotency-Replayed").isPresent)
    }
    val error =
        Json
            .parseToJsonElement(response.body())
            .jsonObject
            .getValue("error")
            .jsonObject

    fun field(name: String) = error.getValue(name).jsonPrimitive.content
    return BookingResult.Refused(field("code"), field("execution"))
}

private fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
