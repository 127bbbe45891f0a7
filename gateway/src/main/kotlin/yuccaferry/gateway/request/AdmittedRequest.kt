// A request that the configuration allows, with all that forwarding it needs.
package yuccaferry.gateway.request

import yuccaferry.decisions.routing.Account
import yuccaferry.decisions.routing.Route
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.port.RequestHead
import yuccaferry.model.MonotonicTime

/**
 * One request on its way.
 *
 * @property version the configuration that admitted it.
 * @property deadline when the caller gets a final answer at the latest.
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
)
