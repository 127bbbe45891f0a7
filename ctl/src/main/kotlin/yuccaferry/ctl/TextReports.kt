// Formats documents of the admin API as text.
package yuccaferry.ctl

import kotlinx.serialization.json.JsonElement
import yuccaferry.model.admin.DaemonStatus
import yuccaferry.model.admin.ExplainAnswer
import yuccaferry.model.admin.FileChange
import yuccaferry.model.admin.FleetAnswer
import java.net.URLEncoder

private const val MAX_VALUE_CHARS = 100

internal fun describe(change: FileChange): String = "${change.path}: ${describe(change.from)} -> ${describe(change.to)}"

internal fun describe(fleet: FleetAnswer): String =
    table(
        listOf("daemon", "region", "version"),
        fleet.members.map { listOf(it.address.value, it.region.value, it.version?.toString() ?: "unreachable") },
    )

internal fun describe(answer: ExplainAnswer): String {
    val targets =
        answer.targets.map {
            listOf(
                it.target.value,
                it.zone.value,
                if (it.eligible) "yes" else "no",
                it.reasons.joinToString("; "),
            )
        }
    return answer.outcome + if (targets.isEmpty()) "" else "\n" + table(listOf("target", "zone", "eligible", "reasons"), targets)
}

internal fun describe(status: DaemonStatus): String =
    listOfNotNull(
        "daemon ${status.daemon} in ${status.region}/${status.zone}: ${describeReadiness(status)}",
        "configuration version ${status.version}, ${describeConfirmed(
            status,
        )}; zones out: ${status.zonesOut.joinToString().ifEmpty { "none" }}",
        "${status.requestsInProgress} requests in progress",
        section(
            listOf("peer", "address", "region", "heard"),
            status.peers.map {
                listOf(
                    it.daemon.value,
                    it.address.value,
                    it.region.value,
                    it.heardMillisAgo?.let { ms -> "$ms ms ago" } ?: "not known",
                )
            },
        ),
        describeShards(status),
        section(
            listOf("target", "serves", "zone", "warm", "requests", "limit"),
            status.targets.map {
                listOf(
                    it.target.value,
                    it.serves.value,
                    it.zone.value,
                    "${it.warm ?: "unknown"}",
                    "${it.requests}",
                    "${it.limit}",
                )
            },
        ),
        section(
            listOf("control", "calls", "bytes", "cpu ms"),
            status.costs.map { listOf(it.kind, "${it.calls}", "${it.bytes}", "${it.cpuMillis}") },
        ),
    ).joinToString("\n")

/** Escapes [text] as one segment of a URL's path. */
internal fun encodeSegment(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

private fun describe(value: JsonElement?): String {
    val text = value?.toString() ?: "nothing"
    return if (text.length <= MAX_VALUE_CHARS) text else text.take(MAX_VALUE_CHARS) + "..."
}

private fun describeShards(status: DaemonStatus): String {
    val held =
        status.seats
            .groupBy { it.region }
            .entries
            .sortedBy { it.key.value }
    if (held.isEmpty()) return "holds no shards"
    return held.joinToString("\n") { (region, shards) ->
        "holds ${shards.size} shards in $region: ${shards.map { it.seat.value }.sorted().joinToString(" ")}"
    }
}

private fun describeReadiness(status: DaemonStatus) =
    if (status.readiness.ready) "ready" else "not ready (${status.readiness.reasons.joinToString()})"

private fun describeConfirmed(status: DaemonStatus) =
    status.confirmedMillisAgo?.let { "confirmed $it ms ago" } ?: "not confirmed by the store"

private fun section(
    header: List<String>,
    rows: List<List<String>>,
): String? = if (rows.isEmpty()) null else "\n" + table(header, rows)

private fun table(
    header: List<String>,
    rows: List<List<String>>,
): String {
    val all = listOf(header) + rows
    val widths = header.indices.map { column -> all.maxOf { it[column].length } }
    return all.joinToString("\n") { row -> row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd() }
}
