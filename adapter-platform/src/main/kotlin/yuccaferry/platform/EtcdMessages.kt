/*
 * Messages of the etcd v3 JSON gateway, as far as the daemon uses them: keys and values in base64,
 * 64-bit integers as strings, fields with default values left out.
 * https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
 */
package yuccaferry.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import yuccaferry.daemon.port.StoredValue
import java.util.Base64

internal val etcdJson =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

@Serializable
internal data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    @SerialName("min_mod_revision") val minModRevision: String? = null,
)

@Serializable
internal data class PutRequest(
    val key: String,
    val value: String,
    val lease: String? = null,
)

@Serializable
internal data class DeleteRangeRequest(
    val key: String,
)

@Serializable
internal data class Compare(
    val key: String,
    @SerialName("mod_revision") val modRevision: String,
    val target: String,
    val result: String,
)

@Serializable
internal data class Operation(
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val deleteRange: DeleteRangeRequest? = null,
    @SerialName("request_range") val range: RangeRequest? = null,
)

@Serializable
internal data class TxnRequest(
    val compare: List<Compare>,
    val success: List<Operation>,
    val failure: List<Operation>,
)

@Serializable
internal data class LeaseGrantRequest(
    @SerialName("TTL") val ttl: String,
)

@Serializable
internal data class LeaseRequest(
    @SerialName("ID") val id: String,
)

@Serializable
internal data class Header(
    val revision: Long = 0,
)

@Serializable
internal data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: Long,
) {
    fun toStoredValue() = StoredValue(decodeText(key), decodeText(value), modRevision)
}

@Serializable
internal data class RangeAnswer(
    val header: Header = Header(),
    val kvs: List<KeyValue> = emptyList(),
)

@Serializable
internal data class OperationAnswer(
    @SerialName("response_range") val range: RangeAnswer? = null,
)

@Serializable
internal data class TxnAnswer(
    val header: Header,
    val succeeded: Boolean = false,
    val responses: List<OperationAnswer> = emptyList(),
)

@Serializable
internal data class LeaseGrantAnswer(
    @SerialName("ID") val id: Long,
)

@Serializable
internal data class LeaseKeepAliveAnswer(
    val result: LeaseKeepAliveResult,
)

@Serializable
internal data class LeaseKeepAliveResult(
    @SerialName("TTL") val ttl: Long = 0,
)

@Serializable
internal class LeaseRevokeAnswer

internal fun encodeText(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

internal fun decodeText(base64: String): String = Base64.getDecoder().decode(base64).decodeToString()

/** Returns the base64 of the first key after all keys that start with [prefix]. */
internal fun encodePrefixEnd(prefix: String): String {
    val bytes = prefix.toByteArray()
    val last = bytes.indexOfLast { it != 0xFF.toByte() }
    require(last >= 0) { "a prefix must not be empty" }
    val end = bytes.copyOf(last + 1)
    end[last] = (end[last] + 1).toByte()
    return Base64.getEncoder().encodeToString(end)
}
