// Counts and faults of the plain service stand-in.
package yuccaferry.standin.service

/** Counts the calls that the service [name] ran, by idempotency key and by path, and holds its faults. Safe for concurrent use. */
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

    /**
     * Returns the faults of the next call, which has the idempotency key [key], and decrements [ServiceFaults.times] if it is set; at 0
     * there are no faults.
     */
    @Synchronized
    fun takeFaults(key: String?): ServiceFaults {
        val current = faults
        if (current.key != null && current.key != key) return ServiceFaults()
        val left = current.times ?: return current
        if (left <= 0) return ServiceFaults()
        faults = current.copy(times = left - 1)
        return current
    }

    /** Counts one call and returns its receipt. */
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

    /** Returns the number of calls with [key] that ran. */
    @Synchronized
    fun count(key: String): Int = keys[key] ?: 0

    /** Returns the first call with [key] that ran, null if there is none. */
    @Synchronized
    fun booking(key: String): Booking? = bookings[key]

    /** Returns all counts. */
    @Synchronized
    fun stats() = ServiceStats(calls, keys.toMap(), paths.toMap())
}
