// The engine stand-in's own records, for tests to compare with what callers and daemons believe.
package yuccaferry.standin.engine

import kotlinx.serialization.Serializable

private const val REQUESTS_KEPT = 20_000

/**
 * What became of one request id.
 *
 * @property attempts how often the engine accepted it.
 * @property endings how each attempt ended, in order of ending.
 */
@Serializable
internal data class RequestRecord(
    val attempts: Int,
    val endings: List<String>,
)

/**
 * Records of an engine.
 *
 * @property maxColdRequests most requests at once at the arrival of one while cold.
 * @property maxKvTokens most tokens of memory held at once.
 * @property kvHeldTokens tokens held now by requests, segments and exports.
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

/** Collects records. Not safe for concurrent use. */
internal class EngineRecords {
    private val requests =
        object : LinkedHashMap<String, RequestRecord>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, RequestRecord>) = size > REQUESTS_KEPT
        }
    private val refused = mutableMapOf<String, Int>()
    private val orders = mutableListOf<LoadedState>()
    private var accepted = 0L
    private var finished = 0L
    private var maxColdRequests = 0
    private var maxAttempts = 0

    /** Notes a request that was accepted. */
    fun accept(id: String) {
        val old = requests[id] ?: RequestRecord(0, emptyList())
        requests[id] = old.copy(attempts = old.attempts + 1)
        accepted++
        maxAttempts = maxOf(maxAttempts, old.attempts + 1)
    }

    /** Notes how an attempt ended. */
    fun end(
        id: String,
        ending: Ending,
    ) {
        val old = requests[id] ?: return
        requests[id] = old.copy(endings = old.endings + ending.name.lowercase())
        if (ending == Ending.FINISHED) finished++
    }

    /** Notes a refusal. */
    fun refuse(code: String) {
        refused.merge(code, 1, Int::plus)
    }

    /** Notes an order that was obeyed. */
    fun order(state: LoadedState) {
        orders += state
    }

    /** Notes how many requests a cold engine had at an arrival. */
    fun coldRequests(count: Int) {
        maxColdRequests = maxOf(maxColdRequests, count)
    }

    /** All records, together with the state of the engine. */
    fun body(
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
        maxKvTokens = memory.highWater,
        kvHeldTokens = memory.used,
        running = load.running,
        waiting = load.waiting,
        maxAttempts = maxAttempts,
        orders = orders.toList(),
        requests = requests.toMap(),
    )
}
