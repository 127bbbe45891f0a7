// Compares the answers that callers got for their bookings with the plain services' own counts of executions.
package yuccaferry.load

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

private const val NOT_RUN = "not_run"

@Serializable
private data class ServiceCounts(
    val keys: Map<String, Int> = emptyMap(),
)

/**
 * Numbers of bookings, by the answers to the callers and by the services' counts.
 *
 * @property duplicated ran more than once.
 * @property lost confirmed to the caller but never ran.
 * @property falselyNotRun reported to the caller as not run, although they ran.
 * @property unknown ended without a report whether they ran.
 */
@Serializable
data class BookingResult(
    val sent: Int,
    val confirmed: Int,
    val ran: Int,
    val duplicated: Int,
    val lost: Int,
    val falselyNotRun: Int,
    val unknown: Int,
) {
    /** Number of bookings that ran more than once, plus number of false answers to callers. */
    val violations: Int
        get() = duplicated + lost + falselyNotRun
}

/** Reads how often each key ran, summed over the plain services at [addresses]. */
internal suspend fun readRunCounts(
    client: HttpClient,
    addresses: Collection<String>,
): Map<String, Int> {
    val json = Json { ignoreUnknownKeys = true }
    return addresses
        .flatMap { json.decodeFromString<ServiceCounts>(client.get("$it/standin/stats").bodyAsText()).keys.entries }
        .groupingBy { it.key }
        .fold(0) { sum, entry -> sum + entry.value }
}

/** Checks the bookings among [outcomes] against [runCounts], how often each key ran; null when there are no bookings. */
internal fun auditBookings(
    outcomes: List<Outcome>,
    runCounts: Map<String, Int>,
): BookingResult? {
    val bookings = outcomes.filter { it.request is PlannedBooking }
    if (bookings.isEmpty()) return null

    fun runsOf(outcome: Outcome) = runCounts[(outcome.request as PlannedBooking).key] ?: 0

    fun execution(outcome: Outcome) = (outcome.ending as? Ending.Failed)?.execution
    return BookingResult(
        sent = bookings.size,
        confirmed = bookings.count { it.complete },
        ran = bookings.count { runsOf(it) > 0 },
        duplicated = bookings.count { runsOf(it) > 1 },
        lost = bookings.count { it.complete && runsOf(it) == 0 },
        falselyNotRun = bookings.count { execution(it) == NOT_RUN && runsOf(it) > 0 },
        unknown = bookings.count { !it.complete && execution(it) != NOT_RUN },
    )
}
