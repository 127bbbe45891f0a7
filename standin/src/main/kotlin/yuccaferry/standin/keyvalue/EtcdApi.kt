/*
 * Bodies of the subset of the etcd v3 JSON gateway that the stand-in serves. Keys and values are base64, 64-bit
 * integers are strings, and a field with its default value is absent.
 */
package yuccaferry.standin.keyvalue

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** A 64-bit integer, written as a string. */
internal typealias Int64 =
    @Serializable(LongAsStringSerializer::class)
    Long

/** Snake case, except for names without a lower-case letter, such as `TTL`. */
@OptIn(ExperimentalSerializationApi::class)
private val etcdNames =
    JsonNamingStrategy { descriptor, index, name ->
        if (name.none { it.isLowerCase() }) name else JsonNamingStrategy.SnakeCase.serialNameForJson(descriptor, index, name)
    }

/** JSON format of the gateway. */
@OptIn(ExperimentalSerializationApi::class)
internal val etcdJson =
    Json {
        namingStrategy = etcdNames
        encodeDefaults = false
        explicitNulls = false
        ignoreUnknownKeys = true
        isLenient = true
    }

/** Header of every response. */
@Serializable
internal data class Header(
    val clusterId: String = "",
    val revision: Int64,
)

/** One stored key. */
@Serializable
internal data class KeyValue(
    val key: String,
    val createRevision: Int64 = 0,
    val modRevision: Int64 = 0,
    val version: Int64 = 0,
    val value: String = "",
    val lease: Int64 = 0,
)

@Serializable
internal data class RangeRequest(
    val key: String,
    val rangeEnd: String? = null,
    val limit: Int64 = 0,
    val keysOnly: Boolean = false,
    val countOnly: Boolean = false,
    val minModRevision: Int64 = 0,
)

@Serializable
internal data class RangeResponse(
    val header: Header,
    val kvs: List<KeyValue> = emptyList(),
    val more: Boolean = false,
    val count: Int64 = 0,
)

@Serializable
internal data class PutRequest(
    val key: String,
    val value: String = "",
    val lease: Int64 = 0,
)

@Serializable
internal data class PutResponse(
    val header: Header,
)

@Serializable
internal data class DeleteRangeRequest(
    val key: String,
    val rangeEnd: String? = null,
)

@Serializable
internal data class DeleteRangeResponse(
    val header: Header,
    val deleted: Int64 = 0,
)

/** Condition of a transaction; only equality is supported. */
@Serializable
internal data class Compare(
    val key: String,
    val target: String = "VERSION",
    val result: String = "EQUAL",
    val modRevision: Int64 = 0,
    val createRevision: Int64 = 0,
    val version: Int64 = 0,
)

/** One operation of a transaction: exactly one property is set. */
@Serializable
internal data class RequestOp(
    val requestPut: PutRequest? = null,
    val requestRange: RangeRequest? = null,
    val requestDeleteRange: DeleteRangeRequest? = null,
) {
    val mutates: Boolean get() = requestPut != null || requestDeleteRange != null
}

@Serializable
internal data class TxnRequest(
    val compare: List<Compare> = emptyList(),
    val success: List<RequestOp> = emptyList(),
    val failure: List<RequestOp> = emptyList(),
) {
    val mutates: Boolean get() = (success + failure).any { it.mutates }
}

/** Response to one operation of a transaction. */
@Serializable
internal data class ResponseOp(
    val responsePut: PutResponse? = null,
    val responseRange: RangeResponse? = null,
    val responseDeleteRange: DeleteRangeResponse? = null,
)

@Serializable
internal data class TxnResponse(
    val header: Header,
    val succeeded: Boolean = false,
    val responses: List<ResponseOp> = emptyList(),
)

@Serializable
internal data class LeaseRequest(
    @SerialName("TTL") val ttl: Int64 = 0,
    @SerialName("ID") val id: Int64 = 0,
)

@Serializable
internal data class LeaseResponse(
    val header: Header,
    @SerialName("ID") val id: Int64 = 0,
    @SerialName("TTL") val ttl: Int64 = 0,
)

/** Each message of a streaming call is wrapped in a result. */
@Serializable
internal data class StreamResult<T>(
    val result: T,
)

@Serializable
internal data class WatchRequest(
    val createRequest: WatchCreate,
)

@Serializable
internal data class WatchCreate(
    val key: String,
    val rangeEnd: String? = null,
    val startRevision: Int64 = 0,
)

@Serializable
internal data class WatchResponse(
    val header: Header,
    val created: Boolean = false,
    val canceled: Boolean = false,
    val compactRevision: Int64 = 0,
    val events: List<Event> = emptyList(),
)

/** One change; a missing type means that the key was put. */
@Serializable
internal data class Event(
    val type: String? = null,
    val kv: KeyValue,
)

/** Body of an error of the gateway; [code] is the gRPC status code. */
@Serializable
internal data class GatewayError(
    val error: String,
    val code: Int,
    val message: String = error,
)
