/*
 * Runs one experiment as an open loop: every request starts at its intended time, whatever the outcome of earlier
 * ones, so that a slow service doesn't reduce the load.
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

/** Error code of requests that had not ended at the end of the run. */
internal const val CODE_UNFINISHED = "unfinished"

/** Everything recorded in a run. */
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
 * @param progress receives a message every [PROGRESS_MILLIS] and after each event.
 */
internal class Run(
    private val experiment: Experiment,
    private val seed: Long,
    private val plan: List<PlannedRequest>,
    private val client: HttpClient,
    private val daemons: List<String>,
    private val eventExecutor: EventExecutor,
    private val expected: (prompt: String, pieces: Int) -> String?,
    private val progress: (String) -> Unit,
) {
    private val origin = System.nanoTime()
    private val gaps = GapRecorder()
    private val outcomes = ConcurrentLinkedQueue<Outcome>()
    private val events = ConcurrentLinkedQueue<EventOutcome>()
    private val started = AtomicInteger()

    /** Runs to the end and returns the record. */
    suspend fun execute(): RunRecord {
        val limitMillis = (experiment.durationSeconds + experiment.drainSeconds) * MILLIS_PER_SECOND
        withTimeoutOrNull(limitMillis) {
            val reporter = launch { reportProgress() }
            launch { executeEvents() }
            sendAll().joinAll()
            reporter.cancel()
        }
        return RunRecord(plan, outcomes.toList() + unfinished(), events.toList(), gaps)
    }

    private fun now() = System.nanoTime() - origin

    private suspend fun CoroutineScope.sendAll(): List<Job> {
        val timeoutMillis = (experiment.durationSeconds + experiment.drainSeconds) * MILLIS_PER_SECOND
        val caller = Caller(experiment, seed, client, daemons, timeoutMillis, ::now, gaps, expected)
        return plan.map { request ->
            waitUntil(request.startNanos)
            started.incrementAndGet()
            launch { outcomes += caller.send(request) }
        }
    }

    private suspend fun executeEvents() =
        coroutineScope {
            for (event in experiment.events.sortedBy { it.atSeconds }) {
                waitUntil((event.atSeconds * NANOS_PER_SECOND).toLong())
                launch {
                    val outcome = eventExecutor.execute(event)
                    events += outcome
                    progress("event $event: ${outcome.error ?: "done"}")
                }
            }
        }

    private suspend fun reportProgress() {
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
            .map { Outcome(it, Ending.Failed(CODE_UNFINISHED, "not ended at the end of the run"), it.startNanos, null, end) }
    }
}
