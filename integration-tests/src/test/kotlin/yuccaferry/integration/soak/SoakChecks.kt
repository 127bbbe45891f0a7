// Checks the service's guarantees against the answers of callers and the requests that targets recorded.
package yuccaferry.integration.soak

import yuccaferry.platform.standin.InstanceStandIn

/** Returns each violation of a guarantee in [run] as one line. */
internal fun violationsOf(run: SoakRun): List<String> {
    val instances = run.fleet.targets.map { it.instance }
    val runs = HashMap<String, Int>()
    instances.forEach { instance -> instance.runs.forEach { (id, count) -> runs.merge(id, count, Int::plus) } }
    return run.exchanges.flatMap { answerViolations(it, runs[it.request.id] ?: 0, run) } + misroutedArrivals(run, instances) +
        configurationRegressions(run.exchanges) + ignoredNotices(run) + requestsAfterCrashes(run) +
        run.staleDaemons.map { "daemon $it does not serve the newest configuration 15 s after all faults" } +
        run.streamlessDaemons.map { "daemon $it serves no sound stream 15 s after all faults" } +
        run.unregisteredDaemons.map { "daemon $it has no entry in the store 15 s after all faults" }
}

private fun answerViolations(
    exchange: Exchange,
    runs: Int,
    run: SoakRun,
): List<String> {
    val answer = exchange.answer
    val isBooking = exchange.request.path.startsWith("/book/")
    val where = "${exchange.request.id} ${exchange.request.path} at daemon ${exchange.daemon}"
    val what = "$where, ${exchange.sentMillis} to ${exchange.endMillis} ms, status ${answer.status}"
    return buildList {
        if (isBooking && runs > 1) add("$what: ran $runs times")
        if (isBooking && answer.status in NOT_RUN && runs > 0) add("$what: was answered not run and ran $runs times")
        if (answer.status == OK && answer.isWhole && !isExpectedAnswer(exchange)) add("$what: got ${answer.body.take(LOGGED_CHARACTERS)}")
        if (answer.status in UNEXPECTED_REFUSALS) add("$what: refused though it is allowed")
        if (answer.isLate && !isDisturbed(exchange, run) && !isDaemonStarting(exchange, run)) add("$what: had no final answer in its time")
        if (isCutByPlannedWork(exchange, runs, run)) add("$what: cut by planned work")
    }
}

private fun isExpectedAnswer(exchange: Exchange): Boolean =
    if (exchange.request.isStream) {
        exchange.answer.body == (1..InstanceStandIn.EVENTS).joinToString("") { "id: $it\ndata: ${exchange.request.id}\n\n" }
    } else {
        exchange.answer.body == "answer to ${exchange.request.id}"
    }

/** Returns whether a fault other than planned work may have affected the request. */
private fun isDisturbed(
    exchange: Exchange,
    run: SoakRun,
): Boolean =
    run.plan.any { timed ->
        val daemon = (timed.fault as? Fault.AtDaemon)?.daemon
        val here = daemon == null || daemon == exchange.daemon
        here && !timed.fault.isPlanned && timed.mayAffect(exchange.sentMillis, exchange.endMillis)
    }

/**
 * Returns whether the daemon process that received the request had not answered any earlier request. A start takes seconds on
 * a busy machine and counts as a disturbance.
 */
private fun isDaemonStarting(
    exchange: Exchange,
    run: SoakRun,
): Boolean =
    run.exchanges.none {
        it.daemon == exchange.daemon && it.daemonStartCount == exchange.daemonStartCount && it.answer.isWhole &&
            it.endMillis < exchange.sentMillis
    }

private fun isCutByPlannedWork(
    exchange: Exchange,
    runs: Int,
    run: SoakRun,
): Boolean {
    val answer = exchange.answer
    return runs > 0 && !answer.isWhole && !answer.isLate && !isDisturbed(exchange, run)
}

private fun misroutedArrivals(
    run: SoakRun,
    instances: List<InstanceStandIn>,
): List<String> {
    val exchangesById = run.exchanges.associateBy { it.request.id }
    return instances.flatMap { instance ->
        instance.arrivals.mapNotNull { arrival ->
            val request = exchangesById[arrival.requestId]?.request
            when {
                // The request was still in progress at the end of the run, so its caller has no answer yet.
                request == null -> null

                request.path != arrival.path -> "${arrival.requestId} arrived at ${instance.id} with path ${arrival.path}"

                arrival.hasKey || arrival.account != "account" -> "${arrival.requestId} arrived with a key or as ${arrival.account}"

                request.isStream != (instance.service == "engines") -> "${arrival.requestId} arrived at ${instance.id} of another service"

                else -> null
            }
        }
    }
}

/** Returns the daemons that served a configuration version and, without a restart, later did not have it. */
private fun configurationRegressions(exchanges: List<Exchange>): List<String> {
    val probes = exchanges.filter { it.request.path.startsWith("/v") }.groupBy { Triple(it.daemon, it.daemonStartCount, it.request.path) }
    return probes.flatMap { (where, list) ->
        val served = list.filter { it.answer.status == OK }.minOfOrNull { it.endMillis } ?: return@flatMap emptyList()
        list
            .filter {
                it.answer.status == NOT_FOUND && it.sentMillis > served
            }.map { "daemon ${where.first} went back behind ${where.third}" }
    }
}

private const val OK = 200
private const val NOT_FOUND = 404
private const val LOGGED_CHARACTERS = 80

/** Statuses that guarantee that a request has not run and will not run. */
private val NOT_RUN = setOf(408, 421, 429, 503)

/** Statuses that are wrong for these requests, as every configuration allows them. 404 is absent because a route may be new. */
private val UNEXPECTED_REFUSALS = setOf(400, 401, 403, 413, 431)
