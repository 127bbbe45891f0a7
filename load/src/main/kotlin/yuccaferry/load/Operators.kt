// Carries out an experiment's timed events: operators' calls to a daemon, and faults of stand-ins.
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
 * Where events are sent.
 *
 * @property admin base address of a daemon's admin port, null when there is none.
 * @property token operators' token.
 * @property standIns base addresses of stand-ins by name.
 */
internal data class ControlAddresses(
    val admin: String? = null,
    val token: String? = null,
    val standIns: Map<String, String> = emptyMap(),
)

/** What became of one event. */
internal data class EventOutcome(
    val event: TimedEvent,
    val error: String?,
)

/** Sends events. */
internal class Operators(
    private val client: HttpClient,
    private val addresses: ControlAddresses,
) {
    /** Names that [experiment] needs and [addresses] lacks. */
    fun missing(experiment: Experiment): List<String> =
        experiment.events
            .mapNotNull { event ->
                when (event) {
                    is TimedEvent.ZoneOut, is TimedEvent.ZoneIn -> "--admin".takeIf { addresses.admin == null }
                    is TimedEvent.Fault -> "--stand-in ${event.standIn}=ADDRESS".takeIf { event.standIn !in addresses.standIns }
                }
            }.distinct()

    /** Carries out [event]. */
    suspend fun carryOut(event: TimedEvent): EventOutcome {
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
            is TimedEvent.ZoneOut -> zone(event.zone, "out")
            is TimedEvent.ZoneIn -> zone(event.zone, "in")
            is TimedEvent.Fault -> fault(event)
        }

    private suspend fun zone(
        zone: String,
        direction: String,
    ) = client.post("${addresses.admin}/v1/zones/$zone/$direction") {
        header(HttpHeaders.Authorization, "Bearer ${addresses.token}")
    }

    private suspend fun fault(event: TimedEvent.Fault) =
        client.put("${addresses.standIns[event.standIn]}/standin/faults") {
            contentType(ContentType.Application.Json)
            setBody(event.faults.toString())
        }

    private suspend fun errorOf(response: HttpResponse): String? =
        if (response.status.isSuccess()) null else "${response.status.value} ${response.bodyAsText()}"
}
