// Faults, rate limits and call counts of the key-value stand-in.
package yuccaferry.standin.keyvalue

import kotlinx.serialization.Serializable

/**
 * Faults of the service. Leases expire during an outage too. A write is a call whose [CallKind] mutates.
 *
 * @property outage closes the connection of each call before the call takes effect, and ends open watches.
 * @property delayMs delay before a call other than a watch takes effect.
 * @property loseAnswers number of the next writes that take effect but get no response.
 * @property writesPerSecond limit above which writes are rejected; null for none.
 * @property readsPerSecond limit above which all other calls are rejected; null for none.
 */
@Serializable
internal data class KeyValueFaults(
    val outage: Boolean = false,
    val delayMs: Long = 0,
    val loseAnswers: Int = 0,
    val writesPerSecond: Int? = null,
    val readsPerSecond: Int? = null,
)

/** Kind of a call; calls are counted by kind, and [mutates] marks writes. */
internal enum class CallKind(
    val mutates: Boolean,
) {
    RANGE(false),
    TXN_READ(false),
    TXN_WRITE(true),
    LEASE_GRANT(true),
    LEASE_KEEPALIVE(true),
    LEASE_REVOKE(true),
    WATCH(false),
}

/**
 * Counts of calls.
 *
 * @property calls number of calls that arrived while there was no outage, by kind, with the rejected ones; a watch counts once.
 * @property cutOff calls that arrived during an outage.
 * @property rejected calls rejected by a rate limit.
 * @property maxWritesPerSecond most writes within one whole second of the clock.
 */
@Serializable
internal data class KeyValueStats(
    val calls: Map<String, Long>,
    val cutOff: Long,
    val rejected: Long,
    val lostAnswers: Long,
    val openWatches: Int,
    val maxWritesPerSecond: Int,
    val maxReadsPerSecond: Int,
)

/** Effect of the faults on one call. */
internal enum class CallAction { SERVE, LOSE_ANSWER, REJECT, CUT_OFF }

/** Counts each call and decides which fault applies to it. [now] is in milliseconds. Safe for concurrent use. */
internal class FaultInjector(
    private val now: () -> Long,
) {
    private class RateCounter {
        private var second = Long.MIN_VALUE
        private var count = 0
        var max = 0
            private set

        fun add(time: Long): Int {
            if (time / 1_000 != second) {
                second = time / 1_000
                count = 0
            }
            count++
            max = maxOf(max, count)
            return count
        }
    }

    private val calls = CallKind.entries.associateWith { 0L }.toMutableMap()
    private val writes = RateCounter()
    private val reads = RateCounter()
    private var cutOff = 0L
    private var rejected = 0L
    private var lostAnswers = 0L
    private var openWatches = 0

    /** The faults in force. */
    @get:Synchronized
    var faults = KeyValueFaults()
        private set

    /** Replaces the faults. */
    @Synchronized
    fun set(new: KeyValueFaults) {
        faults = new
    }

    /** Counts a call of [kind] and returns what to do with it. */
    @Synchronized
    fun admit(kind: CallKind): CallAction {
        if (faults.outage) {
            cutOff++
            return CallAction.CUT_OFF
        }
        calls.merge(kind, 1, Long::plus)
        val rate = if (kind.mutates) writes.add(now()) else reads.add(now())
        val limit = if (kind.mutates) faults.writesPerSecond else faults.readsPerSecond
        if (limit != null && rate > limit) {
            rejected++
            return CallAction.REJECT
        }
        if (!kind.mutates || faults.loseAnswers <= 0) return CallAction.SERVE
        faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
        lostAnswers++
        return CallAction.LOSE_ANSWER
    }

    /** Adds [change] to the number of open watches: 1 when a watch opens, -1 when it ends. */
    @Synchronized
    fun addOpenWatches(change: Int) {
        openWatches += change
    }

    /** Returns all counts. */
    @Synchronized
    fun stats() =
        KeyValueStats(
            calls = calls.mapKeys { it.key.name.lowercase() },
            cutOff = cutOff,
            rejected = rejected,
            lostAnswers = lostAnswers,
            openWatches = openWatches,
            maxWritesPerSecond = writes.max,
            maxReadsPerSecond = reads.max,
        )
}
