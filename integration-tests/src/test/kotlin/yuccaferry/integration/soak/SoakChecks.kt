// The promises, checked from what callers were told and targets saw.
package yuccaferry.integration.soak

import yuccaferry.platform.InstanceStandIn

/** Each breach of a promise in [run], as one line. */
internal fun breachesOf(run: SoakRun): List<String> {
    val runners = run.fleet.targets.map { it.runner }
    val runs = HashMap<String, Int>()
    runners.forEach { runner -> runner.runs.forEach { (id, count) -> runs.merge(id, count, Int::plus) } }
    return run.told.flatMap { answerBreaches(it, runs[it.ask.id] ?: 0, run) } + strangers(run, runners) + configurationsBack(run.told) +
        run.unhealed.map { "daemon $it does not serve the newest configuration 15 s after all faults" }
}

private fun answerBreaches(
    told: Told,
    runs: Int,
    run: SoakRun,
): List<String> {
    val answer = told.answer
    val isBooking = told.ask.path.startsWith("/book/")
    val where = "${told.ask.id} ${told.ask.path} at daemon ${told.daemon}"
    val what = "$where, ${told.sentMillis} to ${told.endMillis} ms, status ${answer.status}"
    return buildList {
        if (isBooking && runs > 1) add("$what: ran $runs times")
        if (isBooking && answer.status in NOT_RUN && runs > 0) add("$what: was told not run and ran $runs times")
        if (answer.status == OK && answer.isWhole && !isOwnAnswer(told)) add("$what: got ${answer.body.take(LOGGED_CHARACTERS)}")
        if (answer.status in OWN_REFUSALS) add("$what: refused though it is allowed")
        if (answer.isLate && !isDisturbed(told, run) && !isDaemonStarting(told, run)) add("$what: had no final answer in its time")
        if (isCutByPlannedWork(told, runs, run)) add("$what: cut by planned work")
    }
}

private fun isOwnAnswer(told: Told): Boolean =
    if (told.ask.isStream) {
        told.answer.body == (1..InstanceStandIn.EVENTS).joinToString("") { "id: $it\ndata: ${told.ask.id}\n\n" }
    } else {
        told.answer.body == "answer to ${told.ask.id}"
    }

/** Whether a fault other than planned work may explain what became of a request. */
private fun isDisturbed(
    told: Told,
    run: SoakRun,
): Boolean =
    run.plan.any { timed ->
        val daemon = (timed.fault as? Fault.AtDaemon)?.daemon
        val here = daemon == null || daemon == told.daemon
        here && !timed.fault.isPlanned && timed.touches(told.sentMillis, told.endMillis)
    }

/** Whether the daemon had not yet answered anything in this run: a start takes seconds on a busy machine and counts as a disturbance. */
private fun isDaemonStarting(
    told: Told,
    run: SoakRun,
): Boolean =
    run.told.none {
        it.daemon == told.daemon && it.daemonRun == told.daemonRun && it.answer.isWhole && it.endMillis < told.sentMillis
    }

private fun isCutByPlannedWork(
    told: Told,
    runs: Int,
    run: SoakRun,
): Boolean {
    val answer = told.answer
    return runs > 0 && !answer.isWhole && !answer.isLate && !isDisturbed(told, run)
}

private fun strangers(
    run: SoakRun,
    runners: List<InstanceStandIn>,
): List<String> {
    val asked = run.told.associateBy { it.ask.id }
    return runners.flatMap { runner ->
        runner.arrivals.mapNotNull { arrival ->
            val ask = asked[arrival.request]?.ask
            when {
                // Requests whose caller has not been told anything are still on their way at the end.
                ask == null -> null

                ask.path != arrival.path -> "${arrival.request} arrived at ${runner.id} with path ${arrival.path}"

                arrival.hasKey || arrival.account != "account" -> "${arrival.request} arrived with a key or as ${arrival.account}"

                ask.isStream != (runner.service == "engines") -> "${arrival.request} arrived at ${runner.id} of another service"

                else -> null
            }
        }
    }
}

/** Daemons that served a version and, in the same run, later did not know it. */
private fun configurationsBack(told: List<Told>): List<String> {
    val probes = told.filter { it.ask.path.startsWith("/v") }.groupBy { Triple(it.daemon, it.daemonRun, it.ask.path) }
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

/** Statuses that promise that a request has not run and will not. */
private val NOT_RUN = setOf(408, 421, 429, 503)

/** Statuses that are wrong for requests that every configuration allows, except routes that are new. */
private val OWN_REFUSALS = setOf(400, 401, 403, 413, 431)
