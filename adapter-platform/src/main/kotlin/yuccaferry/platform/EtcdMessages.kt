/*
 * The messages of the etcd v3 JSON gateway that the daemon uses. Keys and values are in base64, 64-bit integers are strings,
 * and fields with default values are left out.
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
internal data class RequestOp(
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val deleteRange: DeleteRangeRequest? = null,
    @SerialName("request_range") val range: RangeRequest? = null,
)

@Serializable
internal data class TxnRequest(
    val compare: List<Compare>,
    val success: List<RequestOp>,
    val failure: List<RequestOp>,
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
internal data class ResponseHeader(
    val revision: Long = 0,
)

@Serializable
internal data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: Long,
) {
    fun toStoredValue() = StoredValue(decodeBase64(key), decodeBase64(value), modRevision)
}

@Serializable
internal data class RangeResponse(
    val header: ResponseHeader = ResponseHeader(),
    val kvs: List<KeyValue> = emptyList(),
)

@Serializable
internal data class ResponseOp(
    @SerialName("response_range") val range: RangeResponse? = null,
)

@Serializable
internal data class TxnResponse(
    val header: ResponseHeader,
    val succeeded: Boolean = false,
    val responses: List<ResponseOp> = emptyList(),
)

@Serializable
internal data class LeaseGrantResponse(
    @SerialName("ID") val id: Long,
)

@Serializable
internal data class LeaseKeepAliveStreamResponse(
    val result: LeaseKeepAliveResponse,
)

@Serializable
internal data class LeaseKeepAliveResponse(
    @SerialName("TTL") val ttl: Long = 0,
)

@Serializable
internal class LeaseRevokeResponse

internal fun encodeBase64(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

internal fun decodeBase64(base64: String): String = Base64.getDecoder().decode(base64).decodeToString()

/** Returns the first key after all keys that start with [prefix], in base64. */
internal fun encodePrefixEnd(prefix: String): String {
    val bytes = prefix.toByteArray()
    val last = bytes.indexOfLast { it != 0xFF.toByte() }
    require(last >= 0) { "a prefix must not be empty" }
    val end = bytes.copyOf(last + 1)
    end[last] = (end[last] + 1).toByte()
    return Base64.getEncoder().encodeToString(end)
}
