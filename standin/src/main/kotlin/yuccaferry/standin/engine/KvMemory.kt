// KV memory of an engine. Reservations of running work come first; the prefix cache uses the free rest.
package yuccaferry.standin.engine

/** Accounts for [capacity] tokens of memory. Not safe for concurrent use. */
internal class KvMemory(
    val capacity: Long,
) {
    val cache = PrefixCache()
    var used = 0L
        private set
    var peakUsed = 0L
        private set

    /** Reserves [tokens] and evicts cached blocks to make space; returns false if less than that is unreserved. */
    fun reserve(tokens: Long): Boolean {
        if (used + tokens > capacity) return false
        used += tokens
        peakUsed = maxOf(peakUsed, used)
        cache.shrink(capacity - used)
        return true
    }

    /** Releases [tokens] of a reservation. */
    fun release(tokens: Long) {
        used -= tokens
        check(used >= 0) { "released more than was reserved" }
    }

    /** Caches the blocks of a prefix; returns the number of blocks that fitted. */
    fun store(prefix: LongArray): Int = cache.store(prefix, capacity - used)

    /** Empties the memory, as a restart does. */
    fun clear() {
        used = 0
        cache.clear()
    }
}
