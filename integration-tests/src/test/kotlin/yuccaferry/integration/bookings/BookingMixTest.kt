/*
 * Some hundred bookings through real daemons, some sent several times, while a seeded random mix of failures goes on.
 * Timing differs between runs; the plan of calls and failures is that of the printed seed.
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
    private val told = ConcurrentHashMap<String, List<Told>>()

    /** One key's calls: when the first is sent, through which daemons, and whether each waits for the one before it. */
    private class Calls(
        val key: String,
        val atMillis: Long,
        val daemons: List<Int>,
        val inTurn: Boolean,
    )

    private class Failure(
        val atMillis: Long,
        val kind: Int,
        val daemon: Int,
        val lastsMillis: Long,
    )

    private suspend fun send(calls: Calls) {
        delay(calls.atMillis)
        val answers = mutableListOf<Told>()
        if (calls.inTurn) {
            for (daemon in calls.daemons) {
                answers += fleet.daemons[daemon].book(calls.key, DEADLINE_MILLIS).await()
                if (answers.last().notRun) assertEquals(0, fleet.desk.runs(calls.key), "seed $seed: ${calls.key} was told $answers")
            }
        } else {
            answers += calls.daemons.map { fleet.daemons[it].book(calls.key, DEADLINE_MILLIS) }.map { it.await() }
        }
        told[calls.key] = answers
    }

    private suspend fun disturb(failure: Failure) {
        delay(failure.atMillis)
        val daemon = fleet.daemons[failure.daemon]
        when (failure.kind) {
            0 -> fleet.keyValue.faults("""{"lose_answers":3}""")
            1 -> fleet.desk.faults("""{"break_before_answer":true,"times":3}""")
            2 -> fleet.desk.faults("""{"delay_before_ms":200,"delay_after_ms":200,"times":10}""")
            3 -> fleet.deskProxy.faults("""{"cut_after_request_bytes":100}""")
            4 -> fleet.deskProxy.faults("""{"drop_answer":true}""")
            5 -> during(failure, { fleet.keyValue.faults("""{"outage":true}""") }, { fleet.keyValue.heal() })
            6 -> during(failure, { daemon.storeProxy.faults("""{"one_way":"down"}""") }, { daemon.storeProxy.heal() })
            7 -> during(failure, { daemon.process.signal(Signal.STOP) }, { daemon.process.signal(Signal.CONT) })
            8 -> during(failure, { fleet.listDesk(closedAddress()) }, { fleet.listDesk(fleet.deskProxy.address) })
            else -> fleet.awaitReady(holdsSeat = false).kill()
        }
    }

    private suspend fun during(
        failure: Failure,
        start: () -> Unit,
        end: () -> Unit,
    ) {
        start()
        delay(failure.lastsMillis)
        end()
    }

    private fun planCalls(random: Random): List<Calls> =
        List(KEYS) { n ->
            val daemons = List(1 + random.nextInt(3)) { random.nextInt(fleet.daemons.size) }
            Calls("mix-$seed-$n", random.nextLong(SPAN_MILLIS), daemons, random.nextBoolean())
        }

    /** One daemon is killed, one that does not decide over grants so that work goes on; other failures come once or twice. */
    private fun planFailures(random: Random): List<Failure> =
        List(FAILURES) { n ->
            val kind = if (n == 0) Int.MAX_VALUE else n % 9
            Failure(random.nextLong(SPAN_MILLIS), kind, random.nextInt(fleet.daemons.size), 300 + random.nextLong(1_200))
        }

    @Test
    fun `no booking runs twice and no answer is false`() {
        println("seed $seed (repeat with -Dbookings.seed=$seed)")
        eventually("all daemons serve", 30.seconds) { fleet.daemons.all { it.ready() } }
        val random = Random(seed)
        val calls = planCalls(random)
        val failures = planFailures(random)
        runBlocking(Dispatchers.IO) {
            calls.forEach { launch { send(it) } }
            failures.forEach { launch { disturb(it) } }
        }
        fleet.heal()
        eventually("all daemons serve", 30.seconds) { fleet.daemons.all { it.ready() } }
        eventually("all outcomes are written", 20.seconds) { fleet.daemons.all { it.pending() == 0 } }
        told.forEach { (key, answers) -> check(key, answers) }
        val all = told.values.flatten()
        val summary = all.groupingBy { if (it is Told.Success) "success replayed=${it.replayed}" else "$it" }.eachCount()
        println("seed $seed: ${told.size} keys, ${all.size} calls, told $summary")
        assertTrue(all.count { it is Told.Success } >= KEYS / 2, "most bookings succeed: $summary")
    }

    private fun check(
        key: String,
        answers: List<Told>,
    ) {
        val runs = fleet.desk.runs(key)
        assertTrue(runs <= 1, "seed $seed: $key ran $runs times, told $answers")
        if (answers.any { it is Told.Success }) assertEquals(1, runs, "seed $seed: $key told $answers")
        if (answers.all { it.notRun }) assertEquals(0, runs, "seed $seed: $key told $answers")
    }
}
