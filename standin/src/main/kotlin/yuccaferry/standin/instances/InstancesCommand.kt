/*
 * Stand-in of the platform's list of target instances. Readers see an update only after a configured lag.
 */
package yuccaferry.standin.instances

import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import yuccaferry.model.Target
import yuccaferry.standin.StandInCommand
import yuccaferry.standin.server.HostPort
import yuccaferry.standin.server.StandInServer
import yuccaferry.standin.server.closeConnection
import yuccaferry.standin.server.receiveFaults
import yuccaferry.standin.server.receiveJson
import yuccaferry.standin.server.respondJson
import yuccaferry.standin.standInJson
import java.io.File

/** The whole list, in the form in which it is read and replaced. */
@Serializable
internal data class InstancesBody(
    val instances: List<Target> = emptyList(),
)

/** Faults of the list: [delayMs] delays each response, and [outage] closes the connection instead of responding. */
@Serializable
internal data class InstancesFaults(
    val outage: Boolean = false,
    val delayMs: Long = 0,
)

/** The `instances` subcommand. */
@OptIn(ExperimentalCli::class)
internal class InstancesCommand : StandInCommand("instances", "List of target instances that readers see with a lag") {
    private val lagMs by option(ArgType.Int, "lag-ms", description = "Time until readers see an update, ms").default(0)
    private val file by option(ArgType.String, "file", description = "JSON file with the initial list")

    override suspend fun start(listen: HostPort): HostPort {
        val initial = file?.let { standInJson.decodeFromString<InstancesBody>(File(it).readText()) } ?: InstancesBody()
        val list = LaggingList(initial, lagMs.toLong()) { System.nanoTime() / NANOS_PER_MILLI }
        return instancesServer(listen, list).start()
    }
}

private const val NANOS_PER_MILLI = 1_000_000L

/** HTTP server of [list]. */
internal fun instancesServer(
    listen: HostPort,
    list: LaggingList,
): StandInServer {
    var faults = InstancesFaults()
    return StandInServer(listen) {
        routing {
            get("/v1/instances") {
                delay(faults.delayMs)
                if (faults.outage) call.closeConnection() else call.respondJson(list.read())
            }
            put("/standin/instances") {
                val body = call.receiveJson<InstancesBody>() ?: return@put
                list.replace(body)
                call.respondJson(body)
            }
            put("/standin/faults") { call.receiveFaults<InstancesFaults> { faults = it } }
        }
    }
}
