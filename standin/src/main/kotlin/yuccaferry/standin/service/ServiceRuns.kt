// Counts of a plain service.
package yuccaferry.standin.service

/** What the service called [name] ran, by idempotency key and by path, and the faults set on it. */
internal class ServiceRuns(
    private val name: String,
) {
    private val keys = mutableMapOf<String, Int>()
    private val paths = mutableMapOf<String, Int>()
    private val bookings = mutableMapOf<String, Booking>()
    private var calls = 0L
    private var faults = ServiceFaults()

    /** Replaces the faults. */
    @Synchronized
    fun setFaults(new: ServiceFaults) {
        faults = new
    }

    /** Faults of the next call; uses up one of the limited times. */
    @Synchronized
    fun takeFaults(): ServiceFaults {
        val current = faults
        val left = current.times ?: return current
        if (left <= 0) return ServiceFaults()
        faults = current.copy(times = left - 1)
        return current
    }

    /** Counts one run and returns its receipt. */
    @Synchronized
    fun record(
        method: String,
        uri: String,
        path: String,
        key: String?,
    ): Receipt {
        calls++
        paths.merge("$method $path", 1, Int::plus)
        if (key != null) {
            keys.merge(key, 1, Int::plus)
            bookings.putIfAbsent(key, Booking(key, calls))
        }
        return Receipt(name, method, uri, key, calls)
    }

    /** Runs with [key] so far. */
    @Synchronized
    fun count(key: String): Int = keys[key] ?: 0

    /** The first run with [key]. */
    @Synchronized
    fun booking(key: String): Booking? = bookings[key]

    /** All counts. */
    @Synchronized
    fun stats() = ServiceStats(calls, keys.toMap(), paths.toMap())
}
