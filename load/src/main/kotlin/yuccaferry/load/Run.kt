/*
 * Runs one experiment: starts every request at its intended time whatever became of those before it, so that a
 * slow service can't slow the load down.
 */
package yuccaferry.load

import io.ktor.client.HttpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

private const val NANOS_PER_MILLI = 1_000_000L
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val MILLIS_PER_SECOND = 1_000L
private const val PROGRESS_MILLIS = 5_000L

/** Code of requests that had not ended when the run did. */
internal const val CODE_UNFINISHED = "unfinished"

/** All that happened in a run. */
internal class RunRecord(
    val plan: List<PlannedRequest>,
    val outcomes: List<Outcome>,
    val events: List<EventOutcome>,
    val gaps: GapRecorder,
)

/**
 * One run of [experiment].
 *
 * @param plan requests to send.
 * @param progress told once in a while what the run is doing.
 */
internal class Run(
    private val experiment: Experiment,
    private val seed: Long,
    private val plan: List<PlannedRequest>,
    private val client: HttpClient,
    private val targets: List<String>,
    private val operators: Operators,
    private val expected: (prompt: String, pieces: Int) -> String?,
    private val progress: (String) -> Unit,
) {
    private val origin = System.nanoTime()
    private val gaps = GapRecorder()
    private val outcomes = ConcurrentLinkedQueue<Outcome>()
    private val events = ConcurrentLinkedQueue<EventOutcome>()
    private val started = AtomicInteger()

    /** Runs to the end and returns what happened. */
    suspend fun execute(): RunRecord {
        val whole = (experiment.durationSeconds + experiment.drainSeconds) * MILLIS_PER_SECOND
        withTimeoutOrNull(whole) {
            val reporter = launch { report() }
            launch { carryOutEvents() }
            sendAll().joinAll()
            reporter.cancel()
        }
        return RunRecord(plan, outcomes.toList() + unfinished(), events.toList(), gaps)
    }

    private fun now() = System.nanoTime() - origin

    private suspend fun CoroutineScope.sendAll(): List<Job> {
        val timeout = (experiment.durationSeconds + experiment.drainSeconds) * MILLIS_PER_SECOND
        val caller = Caller(experiment, seed, client, targets, timeout, ::now, gaps, expected)
        return plan.map { request ->
            waitUntil(request.startNanos)
            started.incrementAndGet()
            launch { outcomes += caller.send(request) }
        }
    }

    private suspend fun carryOutEvents() =
        coroutineScope {
            for (event in experiment.events.sortedBy { it.atSeconds }) {
                waitUntil((event.atSeconds * NANOS_PER_SECOND).toLong())
                launch {
                    val outcome = operators.carryOut(event)
                    events += outcome
                    progress("event $event: ${outcome.error ?: "done"}")
                }
            }
        }

    private suspend fun report() {
        while (true) {
            delay(PROGRESS_MILLIS)
            val failed = outcomes.count { !it.complete }
            progress("${now() / NANOS_PER_SECOND} s: started=${started.get()} of=${plan.size} ended=${outcomes.size} not_complete=$failed")
        }
    }

    private suspend fun waitUntil(nanos: Long) {
        val left = nanos - now()
        if (left > 0) delay(left / NANOS_PER_MILLI)
    }

    private fun unfinished(): List<Outcome> {
        val ended = outcomes.mapTo(HashSet()) { it.request.number }
        val end = now()
        return plan
            .filter { it.number !in ended }
            .map { Outcome(it, Ending.Failed(CODE_UNFINISHED, "not ended when the run was"), it.startNanos, null, end) }
    }
}
