/*
 * The key-value port over the etcd v3 JSON gateway. A write counts as not applied only when no connection
 * could be made or the service refused it with a status that excludes an effect; all else is uncertain.
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
private val REFUSALS = setOf(400, 401, 403, 404, 405, 413, 415, 422, 429)

/**
 * Calls the key-value service at the first of [addresses] that accepts a connection.
 *
 * @param timeoutMillis upper bound of each call, connecting included.
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

    private val http = HttpExchange(timeoutMillis)

    @Volatile
    private var preferred = 0

    override suspend fun read(key: String): Result<StoredValue?, StoreError> =
        call(StoreCallKind.READ, "/v3/kv/range", RangeRequest.serializer(), RangeRequest(encodeText(key)), RangeAnswer.serializer()) {
            it.kvs.firstOrNull()?.toStoredValue()
        }

    override suspend fun readPrefix(
        prefix: String,
        afterRevision: Long,
    ): Result<PrefixSnapshot, StoreError> {
        val request =
            RangeRequest(
                key = encodeText(prefix),
                rangeEnd = encodePrefixEnd(prefix),
                minModRevision = if (afterRevision > 0) (afterRevision + 1).toString() else null,
            )
        return call(StoreCallKind.READ_PREFIX, "/v3/kv/range", RangeRequest.serializer(), request, RangeAnswer.serializer()) { answer ->
            PrefixSnapshot(answer.header.revision, answer.kvs.map { it.toStoredValue() })
        }
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId?,
    ): Result<SwapOutcome, StoreError> {
        val put = PutRequest(encodeText(key), encodeText(value), lease?.value?.toString())
        return transact(StoreCallKind.SWAP, key, expectedRevision, Operation(put = put))
    }

    override suspend fun deleteIf(
        key: String,
        expectedRevision: Long,
    ): Result<SwapOutcome, StoreError> {
        val delete = DeleteRangeRequest(encodeText(key))
        return transact(StoreCallKind.DELETE, key, expectedRevision, Operation(deleteRange = delete))
    }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, StoreError> {
        val request = LeaseGrantRequest(ttlSeconds.toString())
        return call(
            StoreCallKind.LEASE_GRANT,
            "/v3/lease/grant",
            LeaseGrantRequest.serializer(),
            request,
            LeaseGrantAnswer.serializer(),
        ) { LeaseId(it.id) }
    }

    override suspend fun renewLease(lease: LeaseId): Result<Boolean, StoreError> =
        call(
            StoreCallKind.LEASE_RENEW,
            "/v3/lease/keepalive",
            LeaseRequest.serializer(),
            LeaseRequest(lease.value.toString()),
            LeaseKeepAliveAnswer.serializer(),
        ) { it.result.ttl > 0 }

    override suspend fun revokeLease(lease: LeaseId): Result<Unit, StoreError> =
        call(
            StoreCallKind.LEASE_REVOKE,
            "/v3/lease/revoke",
            LeaseRequest.serializer(),
            LeaseRequest(lease.value.toString()),
            LeaseRevokeAnswer.serializer(),
        ) { }

    override fun close() = http.close()

    private suspend fun transact(
        kind: StoreCallKind,
        key: String,
        expectedRevision: Long,
        change: Operation,
    ): Result<SwapOutcome, StoreError> {
        val encoded = encodeText(key)
        val request =
            TxnRequest(
                compare = listOf(Compare(encoded, expectedRevision.toString(), target = "MOD", result = "EQUAL")),
                success = listOf(change),
                failure = listOf(Operation(range = RangeRequest(encoded))),
            )
        return call(kind, "/v3/kv/txn", TxnRequest.serializer(), request, TxnAnswer.serializer()) { it.toSwapOutcome() }
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
        val result = successBody(exchange(path, body)).andThen { decode(it, answerSerializer, convert) }
        listener.onCall(kind, endOf(result), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
        return result
    }

    private suspend fun exchange(
        path: String,
        body: String,
    ): Exchange {
        val first = preferred
        var last: Exchange = Exchange.NotConnected("no address was tried")
        for (offset in addresses.indices) {
            val index = (first + offset) % addresses.size
            last = http.postJson(addresses[index], path, body)
            if (last !is Exchange.NotConnected) {
                preferred = index
                return last
            }
        }
        return last
    }
}

private fun successBody(exchange: Exchange): Result<String, StoreError> =
    when (exchange) {
        is Exchange.NotConnected -> {
            Err(StoreError.NotApplied(exchange.message))
        }

        is Exchange.Lost -> {
            Err(StoreError.Uncertain(exchange.message))
        }

        is Exchange.Answered -> {
            when (exchange.status) {
                STATUS_OK -> Ok(exchange.body)
                in REFUSALS -> Err(StoreError.NotApplied("status ${exchange.status}: ${exchange.body}"))
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
        // Thrown for JSON of another shape and for broken base64 alike.
        Err(StoreError.Uncertain("malformed answer: ${e.message}"))
    }

private fun TxnAnswer.toSwapOutcome(): SwapOutcome {
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

private fun endOf(result: Result<*, StoreError>): StoreCallEnd =
    result.mapBoth(
        success = { StoreCallEnd.ANSWERED },
        failure = { error ->
            when (error) {
                is StoreError.NotApplied -> StoreCallEnd.NOT_APPLIED
                is StoreError.Uncertain -> StoreCallEnd.UNCERTAIN
            }
        },
    )
