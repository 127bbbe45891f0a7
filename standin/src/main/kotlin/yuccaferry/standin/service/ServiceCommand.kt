/*
 * Stand-in of a plain service, some of whose calls must not be repeated. It counts the calls that it ran, so that a
 * test can compare the counts with the responses that callers received.
 */
package yuccaferry.standin.service

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receive
import io.ktor.server.request.uri
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import kotlinx.cli.ExperimentalCli
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import yuccaferry.standin.StandInCommand
import yuccaferry.standin.server.HostPort
import yuccaferry.standin.server.StandInServer
import yuccaferry.standin.server.closeConnection
import yuccaferry.standin.server.receiveFaults
import yuccaferry.standin.server.respondError
import yuccaferry.standin.server.respondJson
import yuccaferry.standin.standInJson

/**
 * Faults of the service.
 *
 * @property delayBeforeMs delay before the call is counted.
 * @property delayAfterMs delay between counting and responding.
 * @property failStatus status of an error response that replaces the receipt, after counting.
 * @property breakBeforeAnswer closes the connection after counting.
 * @property cutAnswer closes the connection in the middle of a chunked response, after counting.
 * @property hang never counts the call and never responds.
 * @property key idempotency key of the calls to which the faults apply; null for all calls.
 * @property times number of further calls to which the faults apply; null for all.
 */
@Serializable
internal data class ServiceFaults(
    val delayBeforeMs: Long = 0,
    val delayAfterMs: Long = 0,
    val failStatus: Int? = null,
    val breakBeforeAnswer: Boolean = false,
    val cutAnswer: Boolean = false,
    val hang: Boolean = false,
    val key: String? = null,
    val times: Int? = null,
)

/** Response to a call that ran. */
@Serializable
internal data class Receipt(
    val name: String,
    val method: String,
    val path: String,
    val key: String?,
    val receipt: Long,
)

/** Number of calls with an idempotency key that ran. */
@Serializable
internal data class RunCount(
    val key: String,
    val count: Int,
)

/** Response to a lookup by key: the first call with this key that ran. */
@Serializable
internal data class Booking(
    val key: String,
    val receipt: Long,
)

/** Counts of the calls that ran: all, by idempotency key, and by method and path as in `POST /bookings`. */
@Serializable
internal data class ServiceStats(
    val calls: Long,
    val keys: Map<String, Int>,
    val paths: Map<String, Int>,
)

/** The `service` subcommand. */
@OptIn(ExperimentalCli::class)
internal class ServiceCommand : StandInCommand("service", "Plain service that counts the calls it runs") {
    override suspend fun start(listen: HostPort) = serviceServer(listen, ServiceRuns(standInName)).start()
}

/** HTTP server of a plain service that records in [runs]. */
internal fun serviceServer(
    listen: HostPort,
    runs: ServiceRuns,
): StandInServer =
    StandInServer(listen) {
        routing {
            get("/standin/calls") {
                val key = call.request.queryParameters["key"].orEmpty()
                call.respondJson(RunCount(key, runs.count(key)))
            }
            get("/standin/stats") { call.respondJson(runs.stats()) }
            put("/standin/faults") { call.receiveFaults<ServiceFaults> { runs.setFaults(it) } }
            get("/bookings/{key}") {
                val booking = runs.booking(call.parameters["key"].orEmpty())
                if (booking == null) call.respondError(404, "unknown_key", "no call with this key ran") else call.respondJson(booking)
            }
            anyMethod("{...}") { serve(it, runs) }
        }
    }

private fun Route.anyMethod(
    path: String,
    body: suspend (ApplicationCall) -> Unit,
) {
    route(path) { handle { body(call) } }
}

private suspend fun serve(
    call: ApplicationCall,
    runs: ServiceRuns,
) {
    val body = call.receive<ByteArray>()
    if (body.size < (call.request.contentLength() ?: 0)) return call.closeConnection()
    val key = call.request.headers["Idempotency-Key"]
    val faults = runs.takeFaults(key)
    if (faults.hang) awaitCancellation()
    delay(faults.delayBeforeMs)
    val receipt = runs.record(call.request.httpMethod.value, call.request.uri, call.request.path(), key)
    delay(faults.delayAfterMs)
    when {
        faults.breakBeforeAnswer -> call.closeConnection()
        faults.cutAnswer -> cutAnswer(call, receipt)
        faults.failStatus != null -> call.respondError(faults.failStatus, "injected", "fault set on the stand-in")
        else -> call.respondJson(receipt, HttpStatusCode.OK)
    }
}

private suspend fun cutAnswer(
    call: ApplicationCall,
    receipt: Receipt,
) {
    val text = standInJson.encodeToString(receipt)
    call.respondBytesWriter(ContentType.Application.Json) {
        writeStringUtf8(text.take(text.length / 2))
        flush()
        call.closeConnection()
    }
}
