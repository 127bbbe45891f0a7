/*
 * State of the key-value stand-in: keys in byte order, one revision counter for the whole store, leases, and the
 * latest [MAX_CHANGES] changes for watches.
 */
package yuccaferry.standin.keyvalue

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import java.util.Base64
import java.util.TreeMap

private const val MAX_VALUE_BYTES = 1 shl 20
private const val MAX_CHANGES = 10_000
private const val MILLIS_PER_SECOND = 1_000L

/** Error of a call that the store rejected; nothing changed. [code] is the gRPC status code. */
internal enum class StoreError(
    val httpStatus: Int,
    val code: Int,
    val message: String,
) {
    LEASE_NOT_FOUND(404, 5, "etcdserver: requested lease not found"),
    TOO_LARGE(400, 3, "etcdserver: request is too large"),
    NOT_SERVED(400, 3, "the stand-in does not support this comparison"),
}

/** In-memory store of keys with revisions and leases; safe for concurrent use. [now] returns the time in milliseconds. */
internal class Store(
    private val now: () -> Long,
) {
    private class Lease(
        val ttlSeconds: Long,
        var expiresAt: Long,
    )

    private val keys = TreeMap<String, KeyValue>()
    private val leases = mutableMapOf<Long, Lease>()
    private val changes = ArrayDeque<Event>()
    private val revisions = MutableStateFlow(1L)
    private var lastLeaseId = 7_000L

    /** Revision of the last change; watches wait for it to grow. */
    val revision: StateFlow<Long> get() = revisions

    /** Reads keys in byte order, after expiring leases. The count is that of the whole range, without limit and minimum revision. */
    @Synchronized
    fun range(request: RangeRequest): RangeResponse {
        expireLeases()
        val found = select(request.key, request.rangeEnd)
        val matching = found.filter { it.modRevision >= request.minModRevision }
        val limit = if (request.limit > 0) request.limit.toInt() else Int.MAX_VALUE
        val kvs = if (request.countOnly) emptyList() else matching.take(limit)
        val body = if (request.keysOnly) kvs.map { it.copy(value = "") } else kvs
        return RangeResponse(header(), body, matching.size > limit, found.size.toLong())
    }

    /** Evaluates the comparisons and applies the `success` or the `failure` operations as a whole, with one revision. */
    @Synchronized
    fun txn(request: TxnRequest): Result<TxnResponse, StoreError> {
        expireLeases()
        if (request.compare.any { it.result != "EQUAL" || it.target !in COMPARABLE_FIELDS }) return Err(StoreError.NOT_SERVED)
        val succeeded = request.compare.all(::matches)
        val operations = if (succeeded) request.success else request.failure
        operations.mapNotNull { it.requestPut }.forEach { put -> validate(put)?.let { return Err(it) } }
        val next = revisions.value + 1
        val before = changes.lastOrNull()
        val responses = operations.map { apply(it, next) }
        if (changes.lastOrNull() !== before) revisions.value = next
        return Ok(TxnResponse(header(), succeeded, responses))
    }

    /** Creates a lease with the requested id, or with a new one if it is 0. A lease that already has the id is replaced. */
    @Synchronized
    fun grant(request: LeaseRequest): LeaseResponse {
        val id = if (request.id != 0L) request.id else ++lastLeaseId
        leases[id] = Lease(request.ttl, now() + request.ttl * MILLIS_PER_SECOND)
        return LeaseResponse(header(), id, request.ttl)
    }

    /** Renews a lease; the response has no TTL if the lease has expired. */
    @Synchronized
    fun keepAlive(request: LeaseRequest): LeaseResponse {
        expireLeases()
        val lease = leases[request.id] ?: return LeaseResponse(header(), request.id)
        lease.expiresAt = now() + lease.ttlSeconds * MILLIS_PER_SECOND
        return LeaseResponse(header(), request.id, lease.ttlSeconds)
    }

    /** Revokes a lease and deletes its keys. */
    @Synchronized
    fun revoke(request: LeaseRequest): Result<LeaseResponse, StoreError> {
        expireLeases()
        if (request.id !in leases) return Err(StoreError.LEASE_NOT_FOUND)
        endLease(request.id)
        return Ok(LeaseResponse(header()))
    }

    /** Ends the leases that have expired and deletes their keys. */
    @Synchronized
    fun expireLeases() {
        val time = now()
        leases.filterValues { it.expiresAt <= time }.keys.forEach(::endLease)
    }

    /** Returns the changes of the watched keys from revision [from] on; null if these are no longer kept. */
    @Synchronized
    fun changes(
        watch: WatchCreate,
        from: Long,
    ): List<Event>? {
        val oldest = changes.firstOrNull()?.kv?.modRevision
        if (changes.size == MAX_CHANGES && oldest != null && from <= oldest) return null
        val selected = selector(watch.key, watch.rangeEnd)
        return changes.filter { it.kv.modRevision >= from && selected(decode(it.kv.key)) }
    }

    /** Returns a header with the current revision. */
    fun header() = Header("1", revisions.value)

    private fun validate(put: PutRequest): StoreError? =
        when {
            put.lease != 0L && put.lease !in leases -> StoreError.LEASE_NOT_FOUND
            Base64.getDecoder().decode(put.value).size > MAX_VALUE_BYTES -> StoreError.TOO_LARGE
            else -> null
        }

    private fun matches(compare: Compare): Boolean {
        val current = keys[decode(compare.key)]
        return when (compare.target) {
            "MOD" -> (current?.modRevision ?: 0) == compare.modRevision
            "CREATE" -> (current?.createRevision ?: 0) == compare.createRevision
            else -> (current?.version ?: 0) == compare.version
        }
    }

    private fun apply(
        operation: RequestOp,
        revision: Long,
    ): ResponseOp {
        operation.requestPut?.let { put(it, revision) }
        val deleted = operation.requestDeleteRange?.let { delete(it, revision) }
        val header = Header("1", revision)
        return ResponseOp(
            responsePut = operation.requestPut?.let { PutResponse(header) },
            responseRange = operation.requestRange?.let { range(it) },
            responseDeleteRange = deleted?.let { DeleteRangeResponse(header, it) },
        )
    }

    private fun put(
        put: PutRequest,
        revision: Long,
    ) {
        val key = decode(put.key)
        val old = keys[key]
        val new = KeyValue(put.key, old?.createRevision ?: revision, revision, (old?.version ?: 0) + 1, put.value, put.lease)
        keys[key] = new
        recordChange(Event(kv = new))
    }

    private fun delete(
        request: DeleteRangeRequest,
        revision: Long,
    ): Long {
        val removed = select(request.key, request.rangeEnd)
        removed.forEach { remove(it, revision) }
        return removed.size.toLong()
    }

    private fun remove(
        old: KeyValue,
        revision: Long,
    ) {
        keys.remove(decode(old.key))
        recordChange(Event("DELETE", KeyValue(old.key, modRevision = revision)))
    }

    private fun endLease(lease: Long) {
        leases.remove(lease)
        val removed = keys.values.filter { it.lease == lease }
        if (removed.isEmpty()) return
        val next = revisions.value + 1
        removed.forEach { remove(it, next) }
        revisions.value = next
    }

    private fun recordChange(event: Event) {
        changes.addLast(event)
        while (changes.size > MAX_CHANGES) changes.removeFirst()
    }

    private fun select(
        key: String,
        rangeEnd: String?,
    ): List<KeyValue> {
        val first = decode(key)
        if (rangeEnd == null) return listOfNotNull(keys[first])
        val end = decode(rangeEnd)
        val tail = if (end == END_OF_KEYS) keys.tailMap(first, true) else keys.subMap(first, true, end, false)
        return tail.values.toList()
    }

    private fun selector(
        key: String,
        rangeEnd: String?,
    ): (String) -> Boolean {
        val first = decode(key)
        if (rangeEnd == null) return { it == first }
        val end = decode(rangeEnd)
        return { it >= first && (end == END_OF_KEYS || it < end) }
    }

    private companion object {
        const val END_OF_KEYS = "\u0000"
        val COMPARABLE_FIELDS = setOf("MOD", "CREATE", "VERSION")

        /** Decodes bytes as ISO 8859-1 characters, so that strings sort in the order of their bytes. */
        fun decode(base64: String) = String(Base64.getDecoder().decode(base64), Charsets.ISO_8859_1)
    }
}
