/*
 * Implements the instance list port over HTTP. An entry of an unknown kind is left out; an entry in an unknown state
 * counts as leaving, so that it gets no new work.
 */
package yuccaferry.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import yuccaferry.daemon.port.InstanceList
import yuccaferry.daemon.port.InstanceListError
import yuccaferry.model.Address
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.TargetState
import yuccaferry.model.ZoneName
import yuccaferry.model.json.decodeBounded

private const val STATUS_OK = 200

private val listJson = Json { ignoreUnknownKeys = true }

@Serializable
private data class InstancesResponse(
    val instances: List<JsonElement>,
)

@Serializable
private data class InstanceEntry(
    val id: String,
    val kind: String,
    val serves: String,
    val zone: String,
    val address: String,
    val state: String,
)

/**
 * Reads the instance list at [address].
 *
 * @param timeoutMillis timeout of one read, connecting included.
 */
class HttpInstanceList(
    private val address: Address,
    timeoutMillis: Long,
) : InstanceList,
    AutoCloseable {
    private val http = PlatformHttpClient(timeoutMillis)

    override suspend fun read(): Result<List<Target>, InstanceListError> =
        when (val exchange = http.get(address, "/v1/instances")) {
            is ExchangeResult.NotConnected -> Err(InstanceListError(exchange.message))
            is ExchangeResult.ResponseLost -> Err(InstanceListError(exchange.message))
            is ExchangeResult.Answered -> parse(exchange)
        }

    override fun close() = http.close()
}

private fun parse(answer: ExchangeResult.Answered): Result<List<Target>, InstanceListError> {
    if (answer.status != STATUS_OK) return Err(InstanceListError("expected status 200, found ${answer.status}"))
    return try {
        val entries = listJson.decodeBounded(InstancesResponse.serializer(), answer.body).instances
        Ok(entries.mapNotNull { parseEntry(it) })
    } catch (e: SerializationException) {
        Err(InstanceListError("malformed answer: ${e.message}"))
    }
}

private fun parseEntry(json: JsonElement): Target? {
    val entry =
        try {
            listJson.decodeFromJsonElement(InstanceEntry.serializer(), json)
        } catch (_: SerializationException) {
            return null
        }
    val kind =
        when (entry.kind) {
            "engine" -> TargetKind.ENGINE
            "service" -> TargetKind.SERVICE
            else -> return null
        }
    val state = if (entry.state == "live") TargetState.LIVE else TargetState.LEAVING
    return Target(
        id = TargetId(entry.id),
        kind = kind,
        serves = ServiceName(entry.serves),
        zone = ZoneName(entry.zone),
        address = Address(entry.address),
        state = state,
    )
}
