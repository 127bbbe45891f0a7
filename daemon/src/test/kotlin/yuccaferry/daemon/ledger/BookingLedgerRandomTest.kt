/*
 * Random interleavings of several daemons over one store, in virtual time: delayed, lost and refused writes, outages,
 * frozen and killed daemons, failing dispatches, keys sent several times. Every seed is printed and repeats its run.
 */
package yuccaferry.daemon.ledger

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import yuccaferry.daemon.port.TargetError
import yuccaferry.model.Execution
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SEEDS = 60
private const val KEYS = 12
private const val DAEMONS = 4
private const val SPAN_MILLIS = 30_000L

class BookingLedgerRandomTest {
    private enum class Told { RAN_NOW, REPLAYED, NOT_RUN, UNKNOWN, NOTHING }

    private val totals = mutableMapOf<Told, Int>()

    /** One run of the mix. */
    private inner class Mix(
        private val scope: TestScope,
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val fleet = TestFleet(scope, seed = seed)
        private val daemons = MutableList(DAEMONS) { fleet.daemon(::fault) }
        private val told = mutableMapOf<String, MutableList<Told>>()

        private fun fault(daemon: TestDaemon): Fault =
            when (random.nextInt(20)) {
                0 -> Fault.Refused
                1 -> Fault.AnswerLost(0)
                2 -> Fault.AnswerLost(null)
                3 -> Fault.AnswerLost(random.nextLong(6_000))
                else -> Fault.None(1 + random.nextLong(if (daemon === daemons[0]) 400 else 30))
            }

        private suspend fun dispatch(key: String): DispatchOutcome {
            val kind = random.nextInt(10)
            if (kind == 0) return DispatchOutcome.Failed(TargetError.NotSent("refused"))
            delay(1 + random.nextLong(400))
            return when (kind) {
                1 -> {
                    DispatchOutcome.Failed(TargetError.Broken("cut before the run"))
                }

                2 -> {
                    scope.backgroundScope.launch {
                        delay(random.nextLong(5_000))
                        fleet.answer(key)
                    }
                    DispatchOutcome.Failed(TargetError.TimedOut("slow"))
                }

                3 -> {
                    fleet.answer(key)
                    DispatchOutcome.Failed(TargetError.Broken("cut after the run"))
                }

                else -> {
                    fleet.answer(key)
                }
            }
        }

        private suspend fun send(key: String) {
            delay(random.nextLong(SPAN_MILLIS))
            val daemon = daemons.random(random)
            val booking = fleet.booking(key, if (key.startsWith("own")) KeyOrigin.DAEMON else KeyOrigin.CALLER, deadlineMillis = 6_000)
            val answer =
                try {
                    daemon.request { run(booking) { dispatch(key) } }.await().fold(
                        success = { if (it.replayed) Told.REPLAYED else Told.RAN_NOW },
                        failure = { if (it.execution == Execution.NOT_RUN) Told.NOT_RUN else Told.UNKNOWN },
                    )
                } catch (_: CancellationException) {
                    Told.NOTHING
                }
            if (answer == Told.NOT_RUN) assertEquals(null, fleet.runs[key], "seed $seed: $key ran and was told not run")
            told.getOrPut(key) { mutableListOf() } += answer
        }

        private suspend fun disturb() {
            delay(random.nextLong(SPAN_MILLIS))
            val index = random.nextInt(DAEMONS)
            val daemon = daemons[index]
            when (random.nextInt(3)) {
                0 -> {
                    daemon.kill()
                    daemons[index] = fleet.daemon(::fault)
                }

                1 -> {
                    daemon.freeze()
                    delay(random.nextLong(8_000))
                    daemon.thaw()
                }

                else -> {
                    val all = daemons.toList()
                    all.forEach { it.outage = true }
                    delay(random.nextLong(5_000))
                    all.forEach { it.outage = false }
                }
            }
        }

        suspend fun run() {
            val callers = (0 until KEYS).flatMap { n -> List(1 + random.nextInt(4)) { scope.launch { send("k$n") } } }
            val single = List(KEYS) { n -> scope.launch { send("own$n") } }
            val disturbances = List(8) { scope.launch { disturb() } }
            (callers + single + disturbances).joinAll()
            withTimeout(120_000) { daemons.forEach { it.ledger.drain() } }
            delay(SPAN_MILLIS)
            check()
        }

        private fun check() {
            for ((key, answers) in told) {
                val runs = fleet.runs[key] ?: 0
                assertTrue(runs <= 1, "seed $seed: $key ran $runs times, told $answers")
                if (Told.RAN_NOW in answers || Told.REPLAYED in answers) assertEquals(1, runs, "seed $seed: $key told $answers")
                if (answers.all { it == Told.NOT_RUN }) assertEquals(0, runs, "seed $seed: $key told $answers")
                answers.forEach { totals.merge(it, 1, Int::plus) }
            }
        }
    }

    @Test
    fun `no booking runs twice and no answer is false, whatever fails`() {
        for (seed in 1..SEEDS) runTest { Mix(this, seed).run() }
        println("bookings by what the caller was told, seeds 1 to $SEEDS: ${totals.toSortedMap()}")
        assertTrue(Told.entries.all { (totals[it] ?: 0) >= SEEDS / 4 }, "the mix must meet every kind of answer: $totals")
    }
}
