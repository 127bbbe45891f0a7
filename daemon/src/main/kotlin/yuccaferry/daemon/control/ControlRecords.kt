// Keys and JSON values of the control records in the key-value service.
package yuccaferry.daemon.control

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.daemon.port.StoredValue
import yuccaferry.decisions.seats.ControlEntry
import yuccaferry.decisions.seats.DaemonRecord
import yuccaferry.decisions.seats.ShardId
import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName
import yuccaferry.model.SeatNumber

/** Prefix of every control record. */
internal const val CONTROL_PREFIX = "yuccaferry/control/"

private const val DAEMONS = "daemons"
private const val SEATS = "seats"
private const val ROSTERS = "rosters"

/** Fields that this version doesn't know are left to newer ones. */
private val json = Json { ignoreUnknownKeys = true }

internal fun daemonsPrefix(region: RegionName) = "$CONTROL_PREFIX$DAEMONS/$region/"

internal fun daemonKey(
    region: RegionName,
    id: DaemonId,
) = daemonsPrefix(region) + id

internal fun seatKey(shard: ShardId) = "$CONTROL_PREFIX$SEATS/$shard"

internal fun rosterKey(region: RegionName) = "$CONTROL_PREFIX$ROSTERS/$region"

internal inline fun <reified T> encodeRecord(record: T): String = Json.encodeToString(record)

/** The record in [stored]; null when its key or value can't be understood. */
internal fun controlEntry(stored: StoredValue): ControlEntry? {
    val parts = stored.key.removePrefix(CONTROL_PREFIX).split('/')
    return try {
        when {
            parts.size == 3 && parts[0] == DAEMONS -> {
                ControlEntry.OfDaemon(json.decodeFromString<DaemonRecord>(stored.value), stored.revision)
            }

            parts.size == 3 && parts[0] == SEATS -> {
                seatEntry(parts, stored)
            }

            parts.size == 2 && parts[0] == ROSTERS -> {
                ControlEntry.OfVoterSet(RegionName(parts[1]), json.decodeFromString(stored.value), stored.revision)
            }

            else -> {
                null
            }
        }
    } catch (_: SerializationException) {
        null
    }
}

private fun seatEntry(
    parts: List<String>,
    stored: StoredValue,
): ControlEntry.OfShard? {
    val number = parts[2].toIntOrNull() ?: return null
    val shard = ShardId(RegionName(parts[1]), SeatNumber(number))
    return ControlEntry.OfShard(shard, json.decodeFromString(stored.value), stored.revision)
}
