package yuccaferry.decisions.limits

import org.junit.jupiter.api.Nested
import yuccaferry.model.DaemonName
import yuccaferry.model.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ColdSharesTest {
    private val members = (1..95).map { DaemonName("daemon-$it") }

    private fun share(
        own: DaemonName,
        target: String,
        fleetPerSecond: Double,
        seen: List<DaemonName> = members,
    ) = ColdShares(own).perSecond(TargetId(target), fleetPerSecond, members.size, seen)

    @Test
    fun `daemons share a high rate equally`() {
        assertEquals(2.0, share(members.first(), "t", fleetPerSecond = 190.0))
    }

    @Nested
    inner class `a rate below one request for each daemon` {
        @Test
        fun `goes to a few daemons, so that the target warms up`() {
            (1..20).forEach { target -> assertEquals(13.0, members.sumOf { share(it, "t$target", fleetPerSecond = 26.0) }) }
        }

        @Test
        fun `goes to other daemons for another target`() {
            val holders = (1..20).map { target -> members.filter { share(it, "t$target", fleetPerSecond = 26.0) > 0 } }
            assertEquals(20, holders.toSet().size)
        }

        @Test
        fun `is not exceeded while each daemon misses a tenth of the others`() {
            val random = Random(20261204)
            val total =
                members.sumOf { own ->
                    share(own, "t", fleetPerSecond = 26.0, seen = members.filter { it == own || random.nextInt(10) > 0 })
                }
            assertTrue(total <= 26.0, "total of $total requests a second, seed 20261204")
        }

        @Test
        fun `gives nothing to a daemon that the others don't know`() {
            assertEquals(0.0, share(DaemonName("new"), "t", fleetPerSecond = 26.0))
        }
    }
}
