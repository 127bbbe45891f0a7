// One version of the operators' configuration of forwarding.
package yuccaferry.decisions.routing

import yuccaferry.model.ServiceName

/**
 * Routes, services, accounts and caller limits of one version.
 *
 * @property version version number, which grows with every change but may skip numbers.
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
    private val rankScales: Map<ServiceName, RankScale> by lazy { rankScalesOf(routes, accounts) }

    /** Returns the urgency of a request on [route] by [account] among those of [service]; null where the ranks of its routes are equal. */
    fun urgencyOf(
        route: Route,
        account: Account?,
        service: ServiceName,
    ): Urgency? = rankScales[service]?.urgencyOf(rankOf(route, account))
}

private fun rankOf(
    route: Route,
    account: Account?,
) = Rank(account?.priority ?: route.priority)

/** Returns the ranks that requests may have, by the service that answers them. */
private fun rankScalesOf(
    routes: Collection<Route>,
    accounts: Collection<Account>,
): Map<ServiceName, RankScale> {
    val ofAccounts = accounts.mapNotNull { it.priority }.map { Rank(it) }
    val hasOthers = accounts.isEmpty() || accounts.any { it.priority == null }
    val ranks = HashMap<ServiceName, MutableSet<Rank>>()
    for (route in routes) {
        for (share in route.shares.filter { it.weight > 0 }) {
            val known = ranks.getOrPut(share.service) { ofAccounts.toMutableSet() }
            if (hasOthers || route.isPublic) known += rankOf(route, account = null)
        }
    }
    return ranks.filterKeys { ownRanksOf(it, routes).size > 1 }.mapValues { RankScale(it.value) }
}

/**
 * Returns the ranks of the routes of [service] themselves. Where they are equal, hardly any request is more urgent than the others, which
 * would all be less urgent then and leave room for nobody.
 */
private fun ownRanksOf(
    service: ServiceName,
    routes: Collection<Route>,
): Set<Int> = routes.filter { route -> route.shares.any { it.service == service && it.weight > 0 } }.mapTo(HashSet()) { it.priority }

/**
 * Limits on the requests and connections of callers.
 *
 * @property headerBytes most bytes of a request's header.
 * @property bodyBytes most bytes of a request's body.
 * @property headerTimeoutMillis longest time to send a request's header.
 * @property idleTimeoutMillis longest time that a connection may stay idle.
 */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/**
 * Definition of one service.
 *
 * @property coldStartMillis time for which a target is cold after its start; zero when it is never cold.
 * @property coldRequestsPerSecond most requests to a cold target each second; zero means no limit.
 * @property engine figures of the service's model engines; null for a plain service.
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
 * @property slots most requests that one pass processes.
 * @property memoryTokens tokens that the engine's memory holds.
 * @property stepMillis minimum time of one token step.
 * @property stepMillisPerSequence additional time of a step for each decoding request.
 * @property contextMillisPerThousand additional time of a step for each thousand context tokens of the decoding requests.
 * @property prefillTokensPerMillisecond prompt tokens prefilled in a millisecond.
 * @property pairMillisPerMillion attention time for a million pairs of a prompt token and an earlier one.
 * @property chunkTokens most prompt tokens prefilled in one step.
 * @property stepsPerPass steps of a pass that includes decoding requests.
 */
data class EngineFigures(
    val slots: Int,
    val memoryTokens: Long,
    val stepMillis: Double,
    val stepMillisPerSequence: Double,
    val contextMillisPerThousand: Double,
    val prefillTokensPerMillisecond: Double,
    val pairMillisPerMillion: Double,
    val chunkTokens: Int,
    val stepsPerPass: Int,
)
