// The stand-ins as processes, with their faults and records.
package yuccaferry.integration

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy
import yuccaferry.model.Target

@OptIn(ExperimentalSerializationApi::class)
private val recordsJson =
    Json {
        ignoreUnknownKeys = true
        namingStrategy = JsonNamingStrategy.SnakeCase
    }

private const val MAIN_CLASS = "yuccaferry.standin.MainKt"

/** One stand-in; [kind] is its subcommand. The command line takes no [name] that is a subcommand. */
internal open class StandIn(
    kind: String,
    name: String,
    vararg options: String,
) : AutoCloseable {
    val process = ProcessUnderTest.start(name, MAIN_CLASS, listOf(kind, "--name", name) + options)
    val address: String by lazy { process.address() }

    /** Where faults are set and records are read. */
    protected open val adminAddress: String get() = address

    /** Replaces the faults; [json] is an object of the stand-in's fault settings. */
    fun faults(json: String) {
        val answer = HttpCalls.put(adminAddress, "/standin/faults", json)
        check(answer.statusCode() == 200) { answer.body() }
    }

    /** Removes all faults. */
    fun heal() = faults("{}")

    protected inline fun <reified T> records(path: String = "/standin/stats"): T =
        recordsJson.decodeFromString(HttpCalls.get(adminAddress, path).body())

    override fun close() = process.close()
}

/** What became of one request id at an engine. */
@Serializable
internal data class RequestRecord(
    val attempts: Int,
    val endings: List<String>,
)

/** An engine's own records. */
@Serializable
internal data class EngineRecords(
    val incarnation: String,
    val warm: Boolean,
    val crashes: Int,
    val accepted: Long,
    val finished: Long,
    val maxColdRequests: Int,
    val maxKvTokens: Long,
    val kvHeldTokens: Long,
    val running: Int,
    val waiting: Int,
    val maxAttempts: Int,
    val requests: Map<String, RequestRecord>,
)

/** A model engine. */
internal class EngineStandIn(
    name: String,
    vararg options: String,
) : StandIn("engine", name, *options) {
    fun stats(): EngineRecords = records()
}

/** A plain service. */
internal class ServiceStandIn(
    name: String,
) : StandIn("service", name) {
    @Serializable
    private data class RunCount(
        val count: Int,
    )

    /** How often calls with the idempotency key [key] ran. */
    fun runs(key: String): Int = records<RunCount>("/standin/calls?key=$key").count
}

/** The counts of the key-value service. */
@Serializable
internal data class KeyValueRecords(
    val calls: Map<String, Long>,
    val cutOff: Long,
    val lostAnswers: Long,
)

/** The key-value service. */
internal class KeyValueStandIn(
    name: String = "store",
) : StandIn("key-value", name) {
    fun stats(): KeyValueRecords = records()
}

/** The list of target instances. */
internal class InstancesStandIn(
    name: String = "targets",
    vararg options: String,
) : StandIn("instances", name, *options) {
    /** Replaces the true list. */
    fun replace(targets: List<Target>) {
        val body = Json.encodeToString(mapOf("instances" to targets))
        check(HttpCalls.put(address, "/standin/instances", body).statusCode() == 200)
    }
}

/** The counts of a proxy. */
@Serializable
internal data class ProxyRecords(
    val accepted: Long,
    val open: Int,
    val bytesHeld: Long,
    val cuts: Long,
)

/** A TCP proxy before [target], a `host:port`. */
internal class ProxyStandIn(
    name: String,
    target: String,
) : StandIn("proxy", name, "--target", target) {
    override val adminAddress: String by lazy { process.address("admin") }

    fun stats(): ProxyRecords = records()
}
