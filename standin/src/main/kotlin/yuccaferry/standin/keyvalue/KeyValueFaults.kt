// Faults, rate limits and call counts of the key-value stand-in.
package yuccaferry.standin.keyvalue

import kotlinx.serialization.Serializable

/**
 * Faults of the service. Leases go on lapsing during an outage.
 *
 * @property outage closes the connection of each call, which has no effect; open watches end.
 * @property delayMs wait before a call takes effect.
 * @property loseAnswers number of next changing calls that take effect but are not answered.
 * @property writesPerSecond limit of changing calls above which they are refused; null for none.
 * @property readsPerSecond limit of other calls above which they are refused; null for none.
 */
@Serializable
internal data class KeyValueFaults(
    val outage: Boolean = false,
    val delayMs: Long = 0,
    val loseAnswers: Int = 0,
    val writesPerSecond: Int? = null,
    val readsPerSecond: Int? = null,
)

/** Kind of a call, as it is counted. */
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
 * @property calls calls that arrived while there was no outage, by kind; a watch counts once.
 * @property cutOff calls that met an outage.
 * @property rejected calls refused for their rate.
 * @property maxWritesPerSecond most changing calls within one second of the clock.
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

/** What to do with a call. */
internal enum class Verdict { SERVE, LOSE_ANSWER, REJECT, CUT_OFF }

/** Decides what happens to each call and counts it. [now] is in milliseconds. */
internal class CallGate(
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

    /** Counts a call of [kind] and says what to do with it. */
    @Synchronized
    fun admit(kind: CallKind): Verdict {
        if (faults.outage) {
            cutOff++
            return Verdict.CUT_OFF
        }
        calls.merge(kind, 1, Long::plus)
        val rate = if (kind.mutates) writes.add(now()) else reads.add(now())
        val limit = if (kind.mutates) faults.writesPerSecond else faults.readsPerSecond
        if (limit != null && rate > limit) {
            rejected++
            return Verdict.REJECT
        }
        if (!kind.mutates || faults.loseAnswers <= 0) return Verdict.SERVE
        faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
        lostAnswers++
        return Verdict.LOSE_ANSWER
    }

    /** Notes that a watch opened (1) or ended (-1). */
    @Synchronized
    fun watches(change: Int) {
        openWatches += change
    }

    /** All counts. */
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
