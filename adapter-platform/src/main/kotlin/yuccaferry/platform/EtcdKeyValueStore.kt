/*
 * Implements the key-value port over the etcd v3 JSON gateway. A write counts as not applied only when no connection
 * could be made or the service refused it with a status that excludes an effect; any other failure is uncertain.
 */
package yuccaferry.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.PrefixSnapshot
import yuccaferry.daemon.port.StoreError
import yuccaferry.daemon.port.StoredValue
import yuccaferry.daemon.port.SwapOutcome
import yuccaferry.model.Address
import java.util.concurrent.TimeUnit

private const val STATUS_OK = 200

/** Statuses with which the service refuses a request before it acts on it. */
private val REFUSAL_STATUSES = setOf(400, 401, 403, 404, 405, 413, 415, 422, 429)

/**
 * Calls the key-value service at the first of [addresses] that accepts a connection, starting with the one used last.
 *
 * @param timeoutMillis timeout of the exchange with each address, connecting included.
 */
class EtcdKeyValueStore(
    private val addresses: List<Address>,
    timeoutMillis: Long,
    private val listener: StoreCallListener = StoreCallListener.NONE,
) : KeyValueStore,
    AutoCloseable {
    init {
        require(addresses.isNotEmpty()) { "the key-value service needs at least one address" }
    }

    private val http = PlatformHttpClient(timeoutMillis)

    @Volatile
    private var preferredIndex = 0

    override suspend fun read(key: String): Result<StoredValue?, StoreError> =
        call(StoreCallKind.READ, "/v3/kv/range", RangeRequest.serializer(), RangeRequest(encodeBase64(key)), RangeResponse.serializer()) {
            it.kvs.firstOrNull()?.toStoredValue()
        }

    override suspend fun readPrefix(
        prefix: String,
        afterRevision: Long,
    ): Result<PrefixSnapshot, StoreError> {
        val request =
            RangeRequest(
                key = encodeBase64(prefix),
                rangeEnd = encodePrefixEnd(prefix),
                minModRevision = if (afterRevision > 0) (afterRevision + 1).toString() else null,
            )
        return call(StoreCallKind.READ_PREFIX, "/v3/kv/range", RangeRequest.serializer(), request, RangeResponse.serializer()) { answer ->
            PrefixSnapshot(answer.header.revision, answer.kvs.map { it.toStoredValue() })
        }
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId?,
    ): Result<SwapOutcome, StoreError> {
        val put = PutRequest(encodeBase64(key), encodeBase64(value), lease?.value?.toString())
        return transact(StoreCallKind.SWAP, key, expectedRevision, RequestOp(put = put))
    }

    override suspend fun deleteIf(
        key: String,
        expectedRevision: Long,
    ): Result<SwapOutcome, StoreError> {
        val delete = DeleteRangeRequest(encodeBase64(key))
        return transact(StoreCallKind.DELETE, key, expectedRevision, RequestOp(deleteRange = delete))
    }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, StoreError> {
        val request = LeaseGrantRequest(ttlSeconds.toString())
        return call(
            StoreCallKind.LEASE_GRANT,
            "/v3/lease/grant",
            LeaseGrantRequest.serializer(),
            request,
            LeaseGrantResponse.serializer(),
        ) { LeaseId(it.id) }
    }

    override suspend fun renewLease(lease: LeaseId): Result<Boolean, StoreError> =
        call(
            StoreCallKind.LEASE_RENEW,
            "/v3/lease/keepalive",
            LeaseRequest.serializer(),
            LeaseRequest(lease.value.toString()),
            LeaseKeepAliveStreamResponse.serializer(),
        ) { it.result.ttl > 0 }

    override suspend fun revokeLease(lease: LeaseId): Result<Unit, StoreError> =
        call(
            StoreCallKind.LEASE_REVOKE,
            "/v3/lease/revoke",
            LeaseRequest.serializer(),
            LeaseRequest(lease.value.toString()),
            LeaseRevokeResponse.serializer(),
        ) { }

    override fun close() = http.close()

    private suspend fun transact(
        kind: StoreCallKind,
        key: String,
        expectedRevision: Long,
        change: RequestOp,
    ): Result<SwapOutcome, StoreError> {
        val encoded = encodeBase64(key)
        val request =
            TxnRequest(
                compare = listOf(Compare(encoded, expectedRevision.toString(), target = "MOD", result = "EQUAL")),
                success = listOf(change),
                failure = listOf(RequestOp(range = RangeRequest(encoded))),
            )
        return call(kind, "/v3/kv/txn", TxnRequest.serializer(), request, TxnResponse.serializer()) { it.toSwapOutcome() }
    }

    private suspend fun <Q, A, V> call(
        kind: StoreCallKind,
        path: String,
        requestSerializer: SerializationStrategy<Q>,
        request: Q,
        answerSerializer: DeserializationStrategy<A>,
        convert: (A) -> V,
    ): Result<V, StoreError> {
        val start = System.nanoTime()
        val body = etcdJson.encodeToString(requestSerializer, request)
        val result = successBody(post(path, body)).andThen { decode(it, answerSerializer, convert) }
        listener.onCall(kind, outcomeOf(result), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
        return result
    }

    /** Posts [body] to one address after another until one accepts the connection. */
    private suspend fun post(
        path: String,
        body: String,
    ): ExchangeResult {
        val first = preferredIndex
        var last: ExchangeResult = ExchangeResult.NotConnected("no address was tried")
        for (offset in addresses.indices) {
            val index = (first + offset) % addresses.size
            last = http.postJson(addresses[index], path, body)
            if (last !is ExchangeResult.NotConnected) {
                preferredIndex = index
                return last
            }
        }
        return last
    }
}

private fun successBody(exchange: ExchangeResult): Result<String, StoreError> =
    when (exchange) {
        is ExchangeResult.NotConnected -> {
            Err(StoreError.NotApplied(exchange.message))
        }

        is ExchangeResult.ResponseLost -> {
            Err(StoreError.Uncertain(exchange.message))
        }

        is ExchangeResult.Answered -> {
            when (exchange.status) {
                STATUS_OK -> Ok(exchange.body)
                in REFUSAL_STATUSES -> Err(StoreError.NotApplied("status ${exchange.status}: ${exchange.body}"))
                else -> Err(StoreError.Uncertain("status ${exchange.status}: ${exchange.body}"))
            }
        }
    }

private fun <A, V> decode(
    body: String,
    serializer: DeserializationStrategy<A>,
    convert: (A) -> V,
): Result<V, StoreError> =
    try {
        Ok(convert(etcdJson.decodeFromString(serializer, body)))
    } catch (e: IllegalArgumentException) {
        // Thrown for JSON of another shape, invalid base64 and a missing revision.
        Err(StoreError.Uncertain("malformed answer: ${e.message}"))
    }

private fun TxnResponse.toSwapOutcome(): SwapOutcome {
    if (!succeeded) {
        return SwapOutcome.Conflict(
            responses
                .firstOrNull()
                ?.range
                ?.kvs
                ?.firstOrNull()
                ?.toStoredValue(),
        )
    }
    require(header.revision > 0) { "a successful transaction has no revision" }
    return SwapOutcome.Written(header.revision)
}

private fun outcomeOf(result: Result<*, StoreError>): StoreCallOutcome =
    result.mapBoth(
        success = { StoreCallOutcome.ANSWERED },
        failure = { error ->
            when (error) {
                is StoreError.NotApplied -> StoreCallOutcome.NOT_APPLIED
                is StoreError.Uncertain -> StoreCallOutcome.UNCERTAIN
            }
        },
    )
