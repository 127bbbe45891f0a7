// A request that the configuration allows, with the data needed to forward it.
package yuccaferry.gateway.request

import yuccaferry.decisions.routing.Account
import yuccaferry.decisions.routing.Route
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.port.RequestHead
import yuccaferry.model.MonotonicTime

/**
 * A request to be forwarded.
 *
 * @property version version of the configuration that admitted it.
 * @property deadline latest time of the final answer to the caller.
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
) {
    /** The attempts to forward it; null until the first target is sought. */
    var attempts: AttemptTracker.Attempts? = null
}
