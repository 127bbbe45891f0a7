// Replaces every daemon, one after another, under steady load.
package yuccaferry.integration.control

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import yuccaferry.integration.DaemonUnderTest
import yuccaferry.integration.Fleet
import yuccaferry.integration.HttpCalls
import yuccaferry.integration.Signal
import yuccaferry.integration.eventually
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RollingReplacementTest {
    private val fleet = Fleet(daemonCount = 3)

    @AfterAll
    fun stop() = fleet.close()

    private fun isReady(daemon: DaemonUnderTest): Boolean =
        try {
            HttpCalls.get(daemon.admin, "/ready").statusCode() == 200
        } catch (e: IOException) {
            false
        }

    @Test
    fun `no request fails`() {
        val inRotation = CopyOnWriteArrayList(fleet.daemons)
        val load = SteadyLoad(callers = 8, pieces = 60) { inRotation.map { it.callers } }
        fleet.daemons.forEachIndexed { i, old ->
            inRotation += fleet.addDaemon("replacement-$i")
            val served = load.successes
            eventually("the replacement has served", 30.seconds) { load.successes > served + 5 }
            old.process.signal(Signal.TERM)
            eventually("the old daemon reports that it is not ready", 10.seconds) { !isReady(old) }
            inRotation.remove(old)
            eventually("the old daemon has ended", 30.seconds) { !old.process.alive }
        }
        val served = load.successes
        eventually("the new daemons serve", 30.seconds) { load.successes > served + 20 }
        val answers = load.stop()
        assertEquals(emptyList(), answers.filterNot { it.whole }, "of ${answers.size}")
        assertTrue(answers.size > 50)
    }
}
