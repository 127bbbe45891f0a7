// Keys and JSON values of the control records in the key-value service.
package yuccaferry.daemon.control

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import yuccaferry.daemon.port.StoredValue
import yuccaferry.decisions.shards.ControlEntry
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.ShardId
import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName
import yuccaferry.model.ShardNumber

/** Prefix of every control record. */
internal const val CONTROL_PREFIX = "yuccaferry/control/"

/** Path segments of the keys; shards and voter sets have their former names in the store. */
private const val DAEMONS = "daemons"
private const val SHARDS = "seats"
private const val VOTER_SETS = "rosters"

/** Ignores unknown fields, which newer versions of the daemon may write. */
private val json = Json { ignoreUnknownKeys = true }

internal fun daemonsPrefix(region: RegionName) = "$CONTROL_PREFIX$DAEMONS/$region/"

internal fun daemonKey(
    region: RegionName,
    id: DaemonId,
) = daemonsPrefix(region) + id

internal fun shardKey(shard: ShardId) = "$CONTROL_PREFIX$SHARDS/$shard"

internal fun voterSetKey(region: RegionName) = "$CONTROL_PREFIX$VOTER_SETS/$region"

internal inline fun <reified T> encodeRecord(record: T): String = Json.encodeToString(record)

/** Decodes the record in [stored]; null when its key has no known form or its value can't be decoded. */
internal fun controlEntry(stored: StoredValue): ControlEntry? {
    val parts = stored.key.removePrefix(CONTROL_PREFIX).split('/')
    return try {
        when {
            parts.size == 3 && parts[0] == DAEMONS -> {
                ControlEntry.OfDaemon(json.decodeFromString<DaemonRecord>(stored.value), stored.revision)
            }

            parts.size == 3 && parts[0] == SHARDS -> {
                shardEntry(parts, stored)
            }

            parts.size == 2 && parts[0] == VOTER_SETS -> {
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

private fun shardEntry(
    parts: List<String>,
    stored: StoredValue,
): ControlEntry.OfShard? {
    val number = parts[2].toIntOrNull() ?: return null
    val shard = ShardId(RegionName(parts[1]), ShardNumber(number))
    return ControlEntry.OfShard(shard, json.decodeFromString(stored.value), stored.revision)
}
