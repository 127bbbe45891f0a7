// Records of what the engine stand-in ran. Tests compare them with the state that callers and daemons report.
package yuccaferry.standin.engine

import kotlinx.serialization.Serializable

private const val MAX_REQUEST_RECORDS = 20_000

/**
 * Attempts of one request id.
 *
 * @property attempts number of times that the engine accepted it.
 * @property endings how each attempt ended, in order of ending.
 */
@Serializable
internal data class RequestRecord(
    val attempts: Int,
    val endings: List<String>,
)

/**
 * Counts and records of an engine since its start. A crash does not reset them.
 *
 * @property accepted attempts of requests that were accepted; segments are not counted.
 * @property refused rejected calls by error code.
 * @property maxColdRequests most concurrent requests when one was accepted while the engine was cold, including that one.
 * @property maxKvTokens most tokens of memory held at the same time.
 * @property kvHeldTokens tokens that requests, segments and exports hold now.
 * @property maxAttempts most attempts of one request id.
 */
@Serializable
internal data class StatsBody(
    val incarnation: String,
    val warm: Boolean,
    val crashes: Int,
    val accepted: Long,
    val finished: Long,
    val refused: Map<String, Int>,
    val maxColdRequests: Int,
    val maxKvTokens: Long,
    val kvHeldTokens: Long,
    val running: Int,
    val waiting: Int,
    val maxAttempts: Int,
    val orders: List<LoadedState>,
    val requests: Map<String, RequestRecord>,
)

/** Collects the records of an engine, for the latest [MAX_REQUEST_RECORDS] request ids. Not safe for concurrent use. */
internal class EngineRecords {
    private val requests =
        object : LinkedHashMap<String, RequestRecord>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, RequestRecord>) = size > MAX_REQUEST_RECORDS
        }
    private val refused = mutableMapOf<String, Int>()
    private val orders = mutableListOf<LoadedState>()
    private var accepted = 0L
    private var finished = 0L
    private var maxColdRequests = 0
    private var maxAttempts = 0

    /** Records an accepted attempt of the request [id]. */
    fun recordAccepted(id: String) {
        val old = requests[id] ?: RequestRecord(0, emptyList())
        requests[id] = old.copy(attempts = old.attempts + 1)
        accepted++
        maxAttempts = maxOf(maxAttempts, old.attempts + 1)
    }

    /** Records how an attempt of the request [id] ended. */
    fun recordEnd(
        id: String,
        ending: Ending,
    ) {
        val old = requests[id] ?: return
        requests[id] = old.copy(endings = old.endings + ending.name.lowercase())
        if (ending == Ending.FINISHED) finished++
    }

    /** Counts a rejected call. */
    fun recordRejection(code: String) {
        refused.merge(code, 1, Int::plus)
    }

    /** Records an order that changed the state. */
    fun recordOrder(state: LoadedState) {
        orders += state
    }

    /** Records the number of requests that a cold engine has after accepting one. */
    fun recordColdRequests(count: Int) {
        maxColdRequests = maxOf(maxColdRequests, count)
    }

    /** Returns all records, together with the state of the engine. */
    fun snapshot(
        load: LoadBody,
        memory: KvMemory,
        crashes: Int,
    ) = StatsBody(
        incarnation = load.incarnation,
        warm = load.warm,
        crashes = crashes,
        accepted = accepted,
        finished = finished,
        refused = refused.toMap(),
        maxColdRequests = maxColdRequests,
        maxKvTokens = memory.peakUsed,
        kvHeldTokens = memory.used,
        running = load.running,
        waiting = load.waiting,
        maxAttempts = maxAttempts,
        orders = orders.toList(),
        requests = requests.toMap(),
    )
}
