// Waits until every daemon answers prompts and warms each one up, so that a run doesn't measure start-up.
package yuccaferry.load

import io.ktor.client.HttpClient
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val MILLIS_PER_SECOND = 1_000L
private const val RETRY_MILLIS = 100L
private const val ATTEMPT_MILLIS = 5_000L
private const val WARM_UP_ANSWERS = 20
private const val WARM_UP_PROMPT_TOKENS = 500

/** Sends prompts to each of [daemons] until it answered [WARM_UP_ANSWERS]; returns the daemons that didn't within [withinSeconds]. */
internal suspend fun awaitReady(
    experiment: Experiment,
    seed: Long,
    client: HttpClient,
    daemons: List<String>,
    withinSeconds: Int,
): List<String> =
    coroutineScope {
        val probes =
            daemons.map { daemon ->
                async {
                    val ready = withTimeoutOrNull(withinSeconds * MILLIS_PER_SECOND) { warmUp(experiment, seed, client, daemon) }
                    daemon.takeIf { ready == null }
                }
            }
        probes.awaitAll().filterNotNull()
    }

private suspend fun warmUp(
    experiment: Experiment,
    seed: Long,
    client: HttpClient,
    daemon: String,
) {
    val origin = System.nanoTime()
    val caller =
        Caller(experiment, seed, client, listOf(daemon), ATTEMPT_MILLIS, { System.nanoTime() - origin }, GapRecorder()) { _, _ -> null }
    var answered = 0
    var attempt = 0
    while (answered < WARM_UP_ANSWERS) {
        attempt++
        // A plan has no numbers below zero, so no prompt of the run is already in a cache.
        val number = -(daemonNumber(daemon) * ATTEMPTS_PER_DAEMON + attempt)
        val account = experiment.accounts[attempt % experiment.accounts.size]
        val outcome = caller.send(PlannedPrompt(number, 0, account, WARM_UP_PROMPT_TOKENS, answerTokens = 1, thread = null))
        if (outcome.complete) answered++ else delay(RETRY_MILLIS)
    }
}

private const val ATTEMPTS_PER_DAEMON = 10_000

private fun daemonNumber(daemon: String) = daemon.hashCode().mod(ATTEMPTS_PER_DAEMON)
