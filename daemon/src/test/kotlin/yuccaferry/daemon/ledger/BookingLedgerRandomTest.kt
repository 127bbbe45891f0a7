/*
 * Random interleavings of several daemons over one store, in virtual time: delayed, lost and refused writes, outages,
 * frozen and killed daemons, failing dispatches, keys sent several times. A failed assertion prints its seed, which
 * reproduces the run.
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
    private enum class Reply { RAN_NOW, REPLAYED, NOT_RUN, UNKNOWN, NOTHING }

    private val totals = mutableMapOf<Reply, Int>()

    /** Random requests and faults drawn from [seed]. */
    private inner class Scenario(
        private val scope: TestScope,
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val fleet = TestFleet(scope, seed = seed)
        private val daemons = MutableList(DAEMONS) { fleet.daemon(::fault) }
        private val repliesByKey = mutableMapOf<String, MutableList<Reply>>()

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
            val reply =
                try {
                    daemon.request { run(booking) { dispatch(key) } }.await().fold(
                        success = { if (it.replayed) Reply.REPLAYED else Reply.RAN_NOW },
                        failure = { if (it.execution == Execution.NOT_RUN) Reply.NOT_RUN else Reply.UNKNOWN },
                    )
                } catch (_: CancellationException) {
                    Reply.NOTHING
                }
            if (reply == Reply.NOT_RUN) assertEquals(null, fleet.runs[key], "seed $seed: $key ran but was reported as not run")
            repliesByKey.getOrPut(key) { mutableListOf() } += reply
        }

        private suspend fun injectFault() {
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
                    daemon.unfreeze()
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
            val faults = List(8) { scope.launch { injectFault() } }
            (callers + single + faults).joinAll()
            withTimeout(120_000) { daemons.forEach { it.ledger.drain() } }
            delay(SPAN_MILLIS)
            check()
        }

        private fun check() {
            for ((key, replies) in repliesByKey) {
                val runs = fleet.runs[key] ?: 0
                assertTrue(runs <= 1, "seed $seed: $key ran $runs times, replies $replies")
                if (Reply.RAN_NOW in replies || Reply.REPLAYED in replies) assertEquals(1, runs, "seed $seed: $key, replies $replies")
                if (replies.all { it == Reply.NOT_RUN }) assertEquals(0, runs, "seed $seed: $key, replies $replies")
                replies.forEach { totals.merge(it, 1, Int::plus) }
            }
        }
    }

    @Test
    fun `no booking runs twice and no answer is false, whatever fails`() {
        for (seed in 1..SEEDS) runTest { Scenario(this, seed).run() }
        println("bookings by reply to the caller, seeds 1 to $SEEDS: ${totals.toSortedMap()}")
        assertTrue(Reply.entries.all { (totals[it] ?: 0) >= SEEDS / 4 }, "the runs must produce every kind of reply: $totals")
    }
}
