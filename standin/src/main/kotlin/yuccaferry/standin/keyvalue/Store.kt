/*
 * The state of the key-value stand-in: keys in byte order, one revision counter for the whole store, leases, and
 * the latest changes for watches. Time is a parameter of the constructor.
 */
package yuccaferry.standin.keyvalue

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import java.util.Base64
import java.util.TreeMap

private const val VALUE_LIMIT_BYTES = 1 shl 20
private const val CHANGES_KEPT = 10_000
private const val MILLIS_PER_SECOND = 1_000L

/** Why the store refused a call; nothing changed. */
internal enum class StoreRefusal(
    val httpStatus: Int,
    val code: Int,
    val message: String,
) {
    LEASE_NOT_FOUND(404, 5, "etcdserver: requested lease not found"),
    TOO_LARGE(400, 3, "etcdserver: request is too large"),
    NOT_SERVED(400, 3, "the stand-in does not serve this comparison"),
}

/** Keys, revisions and leases; safe for concurrent use. [now] is in milliseconds. */
internal class Store(
    private val now: () -> Long,
) {
    private class Lease(
        val ttlSeconds: Long,
        var lapsesAt: Long,
    )

    private val keys = TreeMap<String, KeyValue>()
    private val leases = mutableMapOf<Long, Lease>()
    private val changes = ArrayDeque<Event>()
    private val revisions = MutableStateFlow(1L)
    private var nextLease = 7_000L

    /** The revision of the last change; watches wait on it. */
    val revision: StateFlow<Long> get() = revisions

    /** Reads keys in byte order. */
    @Synchronized
    fun range(request: RangeRequest): RangeResponse {
        lapse()
        val found = select(request.key, request.rangeEnd)
        val shown = found.filter { it.modRevision >= request.minModRevision }
        val limit = if (request.limit > 0) request.limit.toInt() else Int.MAX_VALUE
        val kvs = if (request.countOnly) emptyList() else shown.take(limit)
        val body = if (request.keysOnly) kvs.map { it.copy(value = "") } else kvs
        return RangeResponse(header(), body, shown.size > limit, found.size.toLong())
    }

    /** Evaluates the comparisons and then applies one of the two lists of operations as a whole. */
    @Synchronized
    fun txn(request: TxnRequest): Result<TxnResponse, StoreRefusal> {
        lapse()
        if (request.compare.any { it.result != "EQUAL" || it.target !in COMPARED }) return Err(StoreRefusal.NOT_SERVED)
        val succeeded = request.compare.all(::holds)
        val operations = if (succeeded) request.success else request.failure
        operations.mapNotNull { it.requestPut }.forEach { put -> refusal(put)?.let { return Err(it) } }
        val next = revisions.value + 1
        val before = changes.lastOrNull()
        val responses = operations.map { apply(it, next) }
        if (changes.lastOrNull() !== before) revisions.value = next
        return Ok(TxnResponse(header(), succeeded, responses))
    }

    /** Creates a lease. */
    @Synchronized
    fun grant(request: LeaseRequest): LeaseResponse {
        val id = if (request.id != 0L) request.id else ++nextLease
        leases[id] = Lease(request.ttl, now() + request.ttl * MILLIS_PER_SECOND)
        return LeaseResponse(header(), id, request.ttl)
    }

    /** Renews a lease; the answer has no TTL when it has lapsed. */
    @Synchronized
    fun keepAlive(request: LeaseRequest): LeaseResponse {
        lapse()
        val lease = leases[request.id] ?: return LeaseResponse(header(), request.id)
        lease.lapsesAt = now() + lease.ttlSeconds * MILLIS_PER_SECOND
        return LeaseResponse(header(), request.id, lease.ttlSeconds)
    }

    /** Ends a lease and deletes its keys. */
    @Synchronized
    fun revoke(request: LeaseRequest): Result<LeaseResponse, StoreRefusal> {
        lapse()
        if (request.id !in leases) return Err(StoreRefusal.LEASE_NOT_FOUND)
        end(request.id)
        return Ok(LeaseResponse(header()))
    }

    /** Ends the leases that have lapsed. */
    @Synchronized
    fun lapse() {
        val time = now()
        leases.filterValues { it.lapsesAt <= time }.keys.forEach(::end)
    }

    /** Changes of the watched keys from [from] on; null when these are no longer kept. */
    @Synchronized
    fun changes(
        watch: WatchCreate,
        from: Long,
    ): List<Event>? {
        val oldest = changes.firstOrNull()?.kv?.modRevision
        if (changes.size == CHANGES_KEPT && oldest != null && from <= oldest) return null
        val selected = selector(watch.key, watch.rangeEnd)
        return changes.filter { it.kv.modRevision >= from && selected(decode(it.kv.key)) }
    }

    /** Header with the revision of now. */
    fun header() = Header("1", revisions.value)

    private fun refusal(put: PutRequest): StoreRefusal? =
        when {
            put.lease != 0L && put.lease !in leases -> StoreRefusal.LEASE_NOT_FOUND
            Base64.getDecoder().decode(put.value).size > VALUE_LIMIT_BYTES -> StoreRefusal.TOO_LARGE
            else -> null
        }

    private fun holds(compare: Compare): Boolean {
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
        note(Event(kv = new))
    }

    private fun delete(
        request: DeleteRangeRequest,
        revision: Long,
    ): Long {
        val gone = select(request.key, request.rangeEnd)
        gone.forEach { remove(it, revision) }
        return gone.size.toLong()
    }

    private fun remove(
        old: KeyValue,
        revision: Long,
    ) {
        keys.remove(decode(old.key))
        note(Event("DELETE", KeyValue(old.key, modRevision = revision)))
    }

    private fun end(lease: Long) {
        leases.remove(lease)
        val gone = keys.values.filter { it.lease == lease }
        if (gone.isEmpty()) return
        val next = revisions.value + 1
        gone.forEach { remove(it, next) }
        revisions.value = next
    }

    private fun note(event: Event) {
        changes.addLast(event)
        while (changes.size > CHANGES_KEPT) changes.removeFirst()
    }

    private fun select(
        key: String,
        rangeEnd: String?,
    ): List<KeyValue> {
        val first = decode(key)
        if (rangeEnd == null) return listOfNotNull(keys[first])
        val end = decode(rangeEnd)
        val tail = if (end == EVERYTHING) keys.tailMap(first, true) else keys.subMap(first, true, end, false)
        return tail.values.toList()
    }

    private fun selector(
        key: String,
        rangeEnd: String?,
    ): (String) -> Boolean {
        val first = decode(key)
        if (rangeEnd == null) return { it == first }
        val end = decode(rangeEnd)
        return { it >= first && (end == EVERYTHING || it < end) }
    }

    private companion object {
        const val EVERYTHING = "\u0000"
        val COMPARED = setOf("MOD", "CREATE", "VERSION")

        /** Bytes as characters of ISO 8859-1, so that strings compare as the bytes do. */
        fun decode(base64: String) = String(Base64.getDecoder().decode(base64), Charsets.ISO_8859_1)
    }
}
