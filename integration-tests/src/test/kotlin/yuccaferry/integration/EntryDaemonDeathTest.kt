/*
 * An entry daemon that is killed, or paused until its lease expires, leaves running requests at engines. The other
 * daemons find these orphaned requests and release them well before the requests' deadlines.
 */
package yuccaferry.integration

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val MANY_PIECES = 50_000
private const val STREAMS = 4
private const val NANOS_PER_MILLI = 1_000_000

/** Time limit of the release: the killed daemon's lease, the grace period of its orphaned requests and the takeover of its shards. */
private val RELEASE_BOUND = 15.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EntryDaemonDeathTest {
    private val fleet = Fleet(daemonCount = 2)

    @AfterAll
    fun stop() = fleet.close()

    @Test
    fun `work of a killed daemon is released at the engines, and the other daemon serves on`() {
        val (survivor, victim) = fleet.daemons
        val begun = AtomicInteger()
        val calls =
            (1..STREAMS).map { i ->
                CompletableFuture.supplyAsync {
                    Caller(victim.callers).stream("daemon dies, prompt $i", MANY_PIECES) { received ->
                        if (received == 3) begun.incrementAndGet()
                        true
                    }
                }
            }
        eventually("all streams have begun") { begun.get() == STREAMS }
        val killed = System.nanoTime()
        victim.process.signal(Signal.KILL)
        eventually("the orphans are released", RELEASE_BOUND) { fleet.proxiedEngines.all { it.engine.stats().kvHeldTokens == 0L } }
        println("measure=orphan_release_ms value=${(System.nanoTime() - killed) / NANOS_PER_MILLI}")
        calls.map { it.get() }.forEach { assertTrue(!it.complete && it.isExactPrefix, "$it") }
        eventually("the other daemon serves", RELEASE_BOUND) { Caller(survivor.callers).stream("after the death").whole }
    }
}
