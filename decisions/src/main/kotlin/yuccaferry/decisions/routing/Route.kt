// Routes of forwarded requests: the service that answers them and whether they may be repeated.
package yuccaferry.decisions.routing

import yuccaferry.model.ServiceName

/** Kind of a route's requests, which decides whether they may be repeated. */
sealed interface RequestKind {
    /** Requests that may run more than once. */
    data object Safe : RequestKind

    /** Requests that run at most once. */
    data object Unsafe : RequestKind

    /**
     * A stream of numbered events.
     *
     * @property resumable whether another target may continue after the last event that was delivered.
     * @property targetGapMillis longest pause between two events at which a stream is on time.
     */
    data class Stream(
        val resumable: Boolean,
        val targetGapMillis: Long,
    ) : RequestKind
}

/** Whether a request of this kind may run more than once. */
val RequestKind.isIdempotent: Boolean
    get() =
        when (this) {
            RequestKind.Safe -> true
            RequestKind.Unsafe -> false
            is RequestKind.Stream -> resumable
        }

/** Share of a route's requests that goes to [service], relative to the weights of the route's other shares. */
data class TrafficShare(
    val service: ServiceName,
    val weight: Double,
)

/**
 * One route.
 *
 * @property host value of the `Host` header, without a port.
 * @property prefix start of the path; begins and ends with a slash.
 * @property shares services by weight; at least one.
 * @property timeoutMillis longest time that a request may wait for its answer.
 * @property targetLatencyMillis time within which an answer, or a stream's first event, is on time.
 * @property maxAttempts most targets to which one request is sent.
 * @property priority priority of its requests; zero is the most urgent.
 * @property isPublic whether requests need no key.
 */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val shares: List<TrafficShare>,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    val maxAttempts: Int,
    val priority: Int,
    val isPublic: Boolean,
) {
    /** Returns the service for a request at position [point], in [0, 1), of the traffic split. */
    fun serviceAt(point: Double): ServiceName {
        var rest = point * shares.sumOf { it.weight }
        for (share in shares) {
            rest -= share.weight
            if (rest < 0) return share.service
        }
        return shares.last { it.weight > 0 || it === shares.last() }.service
    }
}
