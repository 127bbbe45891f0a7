// KV memory of an engine: reservations of running work first, the prefix cache in what they leave.
package yuccaferry.standin.engine

/** Accounts for [capacity] tokens. Not safe for concurrent use. */
internal class KvMemory(
    val capacity: Long,
) {
    val cache = PrefixCache()
    var used = 0L
        private set
    var highWater = 0L
        private set

    /** Takes [tokens] if they are free, at the expense of the cache. */
    fun reserve(tokens: Long): Boolean {
        if (used + tokens > capacity) return false
        used += tokens
        highWater = maxOf(highWater, used)
        cache.shrink(capacity - used)
        return true
    }

    /** Gives [tokens] back. */
    fun release(tokens: Long) {
        used -= tokens
        check(used >= 0) { "released more than was reserved" }
    }

    /** Caches the blocks of a prefix; returns how many fitted. */
    fun store(prefix: LongArray): Int = cache.store(prefix, capacity - used)

    /** Empties the memory, as a restart does. */
    fun clear() {
        used = 0
        cache.clear()
    }
}
