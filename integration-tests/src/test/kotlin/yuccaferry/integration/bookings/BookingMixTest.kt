/*
 * Sends bookings through real daemons, some of them several times, while a seeded random plan injects failures.
 * The printed seed determines the plan of calls and failures; timing differs between runs.
 */
package yuccaferry.integration.bookings

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val KEYS = 150
private const val FAILURES = 18
private const val SPAN_MILLIS = 8_000L
private const val DEADLINE_MILLIS = 3_000L

class BookingMixTest {
    private val seed = System.getProperty("bookings.seed")?.toInt() ?: 41
    private val fleet = BookingFleet.shared
    private val results = ConcurrentHashMap<String, List<BookingResult>>()

    /** The calls of one key: when the first is sent, through which daemons, and whether each waits for the previous one. */
    private class Calls(
        val key: String,
        val atMillis: Long,
        val daemons: List<Int>,
        val sequential: Boolean,
    )

    /** A failure of a shared stand-in or of the daemon with the index [daemon]; [kind] selects its branch in [inject]. */
    private class Failure(
        val atMillis: Long,
        val kind: Int,
        val daemon: Int,
        val durationMillis: Long,
    )

    private suspend fun send(calls: Calls) {
        delay(calls.atMillis)
        val answers = mutableListOf<BookingResult>()
        if (calls.sequential) {
            for (daemon in calls.daemons) {
                answers += fleet.daemons[daemon].book(calls.key, DEADLINE_MILLIS).await()
                if (answers.last().notRun) assertEquals(0, fleet.service.runs(calls.key), "seed $seed: ${calls.key} was answered $answers")
            }
        } else {
            answers += calls.daemons.map { fleet.daemons[it].book(calls.key, DEADLINE_MILLIS) }.map { it.await() }
        }
        results[calls.key] = answers
    }

    private suspend fun inject(failure: Failure) {
        delay(failure.atMillis)
        val daemon = fleet.daemons[failure.daemon]
        when (failure.kind) {
            0 -> fleet.keyValue.setFaults("""{"lose_answers":3}""")
            1 -> fleet.service.setFaults("""{"break_before_answer":true,"times":3}""")
            2 -> fleet.service.setFaults("""{"delay_before_ms":200,"delay_after_ms":200,"times":10}""")
            3 -> fleet.serviceProxy.setFaults("""{"cut_after_request_bytes":100}""")
            4 -> fleet.serviceProxy.setFaults("""{"drop_answer":true}""")
            5 -> during(failure, { fleet.keyValue.setFaults("""{"outage":true}""") }, { fleet.keyValue.clearFaults() })
            6 -> during(failure, { daemon.storeProxy.setFaults("""{"one_way":"down"}""") }, { daemon.storeProxy.clearFaults() })
            7 -> during(failure, { daemon.process.signal(Signal.STOP) }, { daemon.process.signal(Signal.CONT) })
            8 -> during(failure, { fleet.listService(closedAddress()) }, { fleet.listService(fleet.serviceProxy.address) })
            else -> fleet.awaitReady(holdsShard = false).killAndRestart()
        }
    }

    private suspend fun during(
        failure: Failure,
        start: () -> Unit,
        end: () -> Unit,
    ) {
        start()
        delay(failure.durationMillis)
        end()
    }

    private fun planCalls(random: Random): List<Calls> =
        List(KEYS) { n ->
            val daemons = List(1 + random.nextInt(3)) { random.nextInt(fleet.daemons.size) }
            Calls("mix-$seed-$n", random.nextLong(SPAN_MILLIS), daemons, random.nextBoolean())
        }

    /**
     * Plans one kill and each other failure once or twice. The killed daemon is one that does not decide on grants, if there is
     * one, so that work continues.
     */
    private fun planFailures(random: Random): List<Failure> =
        List(FAILURES) { n ->
            val kind = if (n == 0) Int.MAX_VALUE else n % 9
            Failure(random.nextLong(SPAN_MILLIS), kind, random.nextInt(fleet.daemons.size), 300 + random.nextLong(1_200))
        }

    @Test
    fun `no booking runs twice and no caller gets a wrong answer`() {
        println("seed $seed (repeat with -Dbookings.seed=$seed)")
        eventually("all daemons serve", 30.seconds) { fleet.daemons.all { it.ready() } }
        val random = Random(seed)
        val calls = planCalls(random)
        val failures = planFailures(random)
        runBlocking(Dispatchers.IO) {
            calls.forEach { launch { send(it) } }
            failures.forEach { launch { inject(it) } }
        }
        fleet.clearFaults()
        eventually("all daemons serve", 30.seconds) { fleet.daemons.all { it.ready() } }
        eventually("all outcomes are written", 20.seconds) { fleet.daemons.all { it.pending() == 0 } }
        results.forEach { (key, answers) -> check(key, answers) }
        val all = results.values.flatten()
        val summary = all.groupingBy { if (it is BookingResult.Success) "success replayed=${it.replayed}" else "$it" }.eachCount()
        println("seed $seed: ${results.size} keys, ${all.size} calls, answers $summary")
        assertTrue(all.count { it is BookingResult.Success } >= KEYS / 2, "most bookings succeed: $summary")
    }

    private fun check(
        key: String,
        answers: List<BookingResult>,
    ) {
        val runs = fleet.service.runs(key)
        assertTrue(runs <= 1, "seed $seed: $key ran $runs times, answers $answers")
        if (answers.any { it is BookingResult.Success }) assertEquals(1, runs, "seed $seed: $key was answered $answers")
        if (answers.all { it.notRun }) assertEquals(0, runs, "seed $seed: $key was answered $answers")
    }
}
