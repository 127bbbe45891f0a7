// A request that the configuration allows, with the data needed to forward it.
package yuccaferry.gateway.request

import yuccaferry.decisions.routing.Account
import yuccaferry.decisions.routing.Route
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.decisions.routing.Urgency
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.port.RequestHead
import yuccaferry.model.MonotonicTime

/**
 * A request to be forwarded.
 *
 * @property version version of the configuration that admitted it.
 * @property deadline latest time of the final answer to the caller.
 * @property urgency urgency among the requests of [service]; null where all have the same rank.
 */
internal class AdmittedRequest(
    val incoming: IncomingRequest,
    val head: RequestHead,
    val route: Route,
    val service: ServiceDefinition,
    val account: Account?,
    val version: Long,
    val arrival: MonotonicTime,
    val deadline: MonotonicTime,
    val urgency: Urgency? = null,
) {
    /** Time in milliseconds from arrival to deadline. */
    val timeoutMillis: Long get() = deadline - arrival

    /** The attempts to forward it; null until the first target is sought. */
    var attempts: AttemptTracker.Attempts? = null

    /** Returns the urgency level at [now], see [Urgency.agedLevel]; zero where ranks don't differ. */
    fun levelAt(now: MonotonicTime): Int = urgency?.agedLevel(now - arrival, timeoutMillis) ?: 0

    /** Returns the priority that the target is told at [now]; null where ranks don't differ. */
    fun priorityAt(now: MonotonicTime): Int? = urgency?.agedRank(now - arrival, timeoutMillis)?.value
}
