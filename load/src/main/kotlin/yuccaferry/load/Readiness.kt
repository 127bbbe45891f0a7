// Waits until every daemon answers prompts, and exercises each a little, so that a run doesn't measure start-up.
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
private const val ROUNDS = 20
private const val PROMPT_TOKENS = 500

/** Sends prompts to each of [targets] until [ROUNDS] were answered; returns the targets that were not ready in time. */
internal suspend fun awaitReady(
    experiment: Experiment,
    seed: Long,
    client: HttpClient,
    targets: List<String>,
    withinSeconds: Int,
): List<String> =
    coroutineScope {
        val probes =
            targets.map { target ->
                async {
                    val ready = withTimeoutOrNull(withinSeconds * MILLIS_PER_SECOND) { exercise(experiment, seed, client, target) }
                    target.takeIf { ready == null }
                }
            }
        probes.awaitAll().filterNotNull()
    }

private suspend fun exercise(
    experiment: Experiment,
    seed: Long,
    client: HttpClient,
    target: String,
) {
    val origin = System.nanoTime()
    val caller =
        Caller(experiment, seed, client, listOf(target), ATTEMPT_MILLIS, { System.nanoTime() - origin }, GapRecorder()) { _, _ -> null }
    var answered = 0
    var attempt = 0
    while (answered < ROUNDS) {
        attempt++
        // Numbers below zero are never in a plan, so that no prompt of the run is in a cache already.
        val number = -(targetNumber(target) * ATTEMPTS_PER_TARGET + attempt)
        val account = experiment.accounts[attempt % experiment.accounts.size]
        val outcome = caller.send(PlannedPrompt(number, 0, account, PROMPT_TOKENS, answerTokens = 1, thread = null))
        if (outcome.complete) answered++ else delay(RETRY_MILLIS)
    }
}

private const val ATTEMPTS_PER_TARGET = 10_000

private fun targetNumber(target: String) = target.hashCode().mod(ATTEMPTS_PER_TARGET)
