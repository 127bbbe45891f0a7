// One whole version of what operators declare about forwarding.
package yuccaferry.decisions.routing

import yuccaferry.model.ServiceName

/**
 * A whole configuration.
 *
 * @property version grows with every change, in uneven steps.
 */
class RoutingConfiguration(
    val version: Long,
    routes: Collection<Route>,
    services: Collection<ServiceDefinition>,
    accounts: Collection<Account>,
    val limits: CallerLimits,
) {
    val routes = RouteTable(routes)
    val routeCount = routes.size
    val services: Map<ServiceName, ServiceDefinition> = services.associateBy { it.name }
    val accounts = Accounts(accounts)
}

/**
 * What callers may send.
 *
 * @property headerBytes most bytes of a request's head.
 * @property bodyBytes most bytes of a request's body.
 * @property headerTimeoutMillis longest time to send a head.
 * @property idleTimeoutMillis longest time that a connection stays idle.
 */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/**
 * One service.
 *
 * @property coldStartMillis how long a target stays cold after its start; zero when it doesn't.
 * @property coldRequestsPerSecond requests that a cold target bears each second; zero when it bears all.
 * @property engine figures of its model engines, or null for a plain service.
 */
data class ServiceDefinition(
    val name: ServiceName,
    val coldStartMillis: Long,
    val coldRequestsPerSecond: Double,
    val engine: EngineFigures?,
)

/**
 * Speed and size of a model engine.
 *
 * @property slots requests that one pass works on.
 * @property memoryTokens tokens that the engine's memory holds.
 * @property stepMillis least time of one token step.
 * @property stepMillisPerWriter additional time of a step for each request that writes.
 * @property contextMillisPerThousand additional time of a step for each thousand tokens of a writer's context.
 * @property readTokensPerMillisecond prompt tokens read in a millisecond.
 * @property pairMillisPerMillion time for a million pairs of a prompt token and an earlier one.
 * @property chunkTokens most prompt tokens read in one step.
 * @property stepsPerPass steps of a pass that includes writers.
 */
data class EngineFigures(
    val slots: Int,
    val memoryTokens: Long,
    val stepMillis: Double,
    val stepMillisPerWriter: Double,
    val contextMillisPerThousand: Double,
    val readTokensPerMillisecond: Double,
    val pairMillisPerMillion: Double,
    val chunkTokens: Int,
    val stepsPerPass: Int,
)
