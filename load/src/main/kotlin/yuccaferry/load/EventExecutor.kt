// Executes an experiment's timed events: zone changes through a daemon's admin API, and faults of stand-ins.
package yuccaferry.load

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import java.io.IOException

/**
 * Addresses and token for the calls that execute events.
 *
 * @property admin base address of a daemon's admin port, null when none was given.
 * @property token operators' token.
 * @property standIns base addresses of stand-ins by name.
 */
internal data class ControlAddresses(
    val admin: String? = null,
    val token: String? = null,
    val standIns: Map<String, String> = emptyMap(),
)

/** Outcome of one event; [error] is null when it succeeded. */
internal data class EventOutcome(
    val event: TimedEvent,
    val error: String?,
)

/** Executes timed events by HTTP calls to [addresses]. */
internal class EventExecutor(
    private val client: HttpClient,
    private val addresses: ControlAddresses,
) {
    /** Returns the options that the events of [experiment] need and that [addresses] has no value for. */
    fun missingOptions(experiment: Experiment): List<String> =
        experiment.events
            .mapNotNull { event ->
                when (event) {
                    is TimedEvent.ZoneOut, is TimedEvent.ZoneIn -> "--admin".takeIf { addresses.admin == null }
                    is TimedEvent.Fault -> "--stand-in ${event.standIn}=ADDRESS".takeIf { event.standIn !in addresses.standIns }
                }
            }.distinct()

    /** Executes [event]; a failed call is returned as the outcome's error. */
    suspend fun execute(event: TimedEvent): EventOutcome {
        val error =
            try {
                errorOf(call(event))
            } catch (e: IOException) {
                e.toString()
            }
        return EventOutcome(event, error)
    }

    private suspend fun call(event: TimedEvent): HttpResponse =
        when (event) {
            is TimedEvent.ZoneOut -> changeZone(event.zone, "out")
            is TimedEvent.ZoneIn -> changeZone(event.zone, "in")
            is TimedEvent.Fault -> setFaults(event)
        }

    private suspend fun changeZone(
        zone: String,
        direction: String,
    ) = client.post("${addresses.admin}/v1/zones/$zone/$direction") {
        header(HttpHeaders.Authorization, "Bearer ${addresses.token}")
    }

    private suspend fun setFaults(event: TimedEvent.Fault) =
        client.put("${addresses.standIns[event.standIn]}/standin/faults") {
            contentType(ContentType.Application.Json)
            setBody(event.faults.toString())
        }

    private suspend fun errorOf(response: HttpResponse): String? =
        if (response.status.isSuccess()) null else "${response.status.value} ${response.bodyAsText()}"
}
