// Starts the stand-ins as processes, sets their faults and reads their records.
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

/** A stand-in process; [kind] is its subcommand. The command line rejects a [name] that equals a subcommand. */
internal open class StandIn(
    kind: String,
    name: String,
    vararg options: String,
) : AutoCloseable {
    val process = ProcessUnderTest.start(name, MAIN_CLASS, listOf(kind, "--name", name) + options)
    val address: String by lazy { process.address() }

    /** The address at which faults are set and records are read. */
    protected open val adminAddress: String get() = address

    /** Replaces the faults; [json] is an object of the stand-in's fault settings. */
    fun setFaults(json: String) {
        val answer = HttpCalls.put(adminAddress, "/standin/faults", json)
        check(answer.statusCode() == 200) { answer.body() }
    }

    /** Removes all faults. */
    fun clearFaults() = setFaults("{}")

    protected inline fun <reified T> records(path: String = "/standin/stats"): T =
        recordsJson.decodeFromString(HttpCalls.get(adminAddress, path).body())

    override fun close() = process.close()
}

/** The number of attempts of one request id at an engine, and how each attempt ended. */
@Serializable
internal data class RequestRecord(
    val attempts: Int,
    val endings: List<String>,
)

/** The records that an engine keeps of its requests. */
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

/** An engine stand-in that is started with the command-line [options]. */
internal class EngineStandIn(
    name: String,
    vararg options: String,
) : StandIn("engine", name, *options) {
    fun stats(): EngineRecords = records()
}

internal class ServiceStandIn(
    name: String,
) : StandIn("service", name) {
    @Serializable
    private data class RunCount(
        val count: Int,
    )

    /** Returns how often calls with the idempotency key [key] ran. */
    fun runs(key: String): Int = records<RunCount>("/standin/calls?key=$key").count
}

/** The counts of the key-value service. */
@Serializable
internal data class KeyValueRecords(
    val calls: Map<String, Long>,
    val cutOff: Long,
    val lostAnswers: Long,
)

internal class KeyValueStandIn(
    name: String = "store",
) : StandIn("key-value", name) {
    fun stats(): KeyValueRecords = records()
}

/** A service that lists the target instances. */
internal class InstancesStandIn(
    name: String = "targets",
    vararg options: String,
) : StandIn("instances", name, *options) {
    /** Replaces the list. */
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

/** A TCP proxy that forwards connections to [target], a `host:port`. */
internal class ProxyStandIn(
    name: String,
    target: String,
) : StandIn("proxy", name, "--target", target) {
    override val adminAddress: String by lazy { process.address("admin") }

    fun stats(): ProxyRecords = records()
}
