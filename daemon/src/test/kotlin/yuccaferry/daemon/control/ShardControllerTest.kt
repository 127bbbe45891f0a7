// Checks the control of shards as a whole, with an in-memory store and peers in virtual time.
package yuccaferry.daemon.control

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Nested
import yuccaferry.decisions.shards.ShardId
import yuccaferry.decisions.shards.ShardSettings
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.ShardNumber
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class ShardControllerTest {
    private val settings = ShardSettings(shardsPerRegion = 8)
    private val shards = (0 until 8).map { ShardId(attica, ShardNumber(it)) }

    private fun control(test: suspend TestScope.(ControlFleet) -> Unit) =
        runTest { test(ControlFleet({ MonotonicTime(currentTime) }, backgroundScope, settings)) }

    private fun ControlFleet.deciders() = shards.map { shard -> daemons.values.filter { it.table.mayDecide(shard) != null }.map { it.id } }

    @Nested
    inner class `a daemon alone` {
        @Test
        fun `decides for every target of its region under epoch 1`() =
            control { fleet ->
                val a = fleet.start("a")
                advanceTimeBy(2_000)
                val target = target("attica-b")
                assertEquals(Epoch(1), a.table.mayDecide(target))
                assertEquals(Address("a"), a.table.holderOf(target)?.peer)
                assertNull(a.table.mayDecide(target("kranj-c")))
                assertTrue(a.table.confirmed)
            }

        @Test
        fun `is not confirmed once its lease can't be renewed`() =
            control { fleet ->
                val a = fleet.start("a")
                advanceTimeBy(6_000)
                fleet.store.unavailable = true
                advanceTimeBy(15_000)
                assertFalse(a.table.confirmed)
                assertEquals(emptyList(), a.table.heldShards())
            }

        @Test
        fun `holds its shards although the answers to its writes were lost`() =
            control { fleet ->
                val a = fleet.start("a")
                advanceTimeBy(300)
                fleet.store.loseAnswers = true
                advanceTimeBy(3_000)
                fleet.store.loseAnswers = false
                advanceTimeBy(10_000)
                assertEquals(8, a.table.heldShards().size)
                assertEquals(8, fleet.store.keys.count { it.startsWith("yuccaferry/control/seats/attica/") })
            }
    }

    @Nested
    inner class `a second daemon` {
        @Test
        fun `receives its share of the shards with their grants`() =
            control { fleet ->
                val a = fleet.start("a")
                advanceTimeBy(5_000)
                val b = fleet.start("b")
                advanceTimeBy(10_000)
                assertTrue(fleet.deciders().all { it.size == 1 })
                val received = b.table.heldShards()
                assertTrue(received.size in 3..5, "$received")
                assertEquals(received.map { "import $it 2 from a" }.toSet(), b.log.toSet())
                assertEquals(received.map { "lost $it" }.toSet(), a.log.toSet())
            }

        /** Guards against a daemon that refuses calls after it handed a shard over, because it can't read from the store who has it. */
        @Test
        fun `is known as the holder to the daemon that handed a shard over, before that one reads the store again`() =
            control { fleet ->
                val a = fleet.start("a")
                advanceTimeBy(5_000)
                fleet.start("b")
                repeat(10_000) { if (a.log.none { it.startsWith("lost") }) advanceTimeBy(1) }
                fleet.store.unavailable = true
                val handedOver = shards.filter { "lost $it" in a.log }
                assertTrue(handedOver.isNotEmpty())
                advanceTimeBy(5_000)
                assertEquals(handedOver.map { Address("b") }, handedOver.map { a.table.holderOf(it)?.peer })
            }

        @Test
        fun `takes over the shards of a dead daemon and recovers their grants before it decides`() =
            control { fleet ->
                val a = fleet.start("a")
                val b = fleet.start("b")
                advanceTimeBy(10_000)
                val orphaned = a.table.heldShards()
                fleet.end(a)
                advanceTimeBy(15_000)
                assertTrue(orphaned.all { b.table.mayDecide(it) == null })
                advanceTimeBy(15_000)
                assertEquals(shards.toSet(), b.table.heldShards().toSet())
                val recovered = b.log.filter { it.startsWith("recover") }
                assertEquals(orphaned.size, recovered.size)
                assertTrue(recovered.all { it.endsWith("deciding=null") })
            }

        @Test
        fun `holds all shards after the first left gracefully`() =
            control { fleet ->
                val a = fleet.start("a")
                val b = fleet.start("b")
                advanceTimeBy(10_000)
                assertTrue(a.control.leave(timeoutMillis = 10_000))
                assertTrue(fleet.store.keys.none { it == "yuccaferry/control/daemons/attica/a" })
                advanceTimeBy(1_000)
                assertEquals(8, b.table.heldShards().size)
                assertTrue(b.log.none { it.startsWith("recover") })
            }
    }

    @Nested
    inner class `three daemons while the store is unavailable` {
        @Test
        fun `keep deciding and learn the newest configuration version from each other`() =
            control { fleet ->
                val all = listOf("a", "b", "c").map(fleet::start)
                advanceTimeBy(20_000)
                val before = fleet.deciders()
                fleet.store.unavailable = true
                all[2].version = ConfigurationVersion(2)
                advanceTimeBy(120_000)
                assertEquals(before, fleet.deciders())
                assertFalse(all[0].table.confirmed)
                assertTrue("newer 2" in all[0].log)
                all[0].version = ConfigurationVersion(2)
                assertTrue(all[0].table.confirmed)
                assertTrue(assertNotNull(all[0].table.extendedAsOf) >= MonotonicTime(135_000))
            }
    }

    /** Guards against a control that waits forever for the answer of a call that ended with no answer. */
    @Nested
    inner class `a daemon keeps its lease and its shards` {
        private fun after(fail: (ControlFleet, ControlledDaemon) -> Unit) =
            control { fleet ->
                val a = fleet.start("a")
                advanceTimeBy(6_000)
                repeat(10) {
                    fail(fleet, a)
                    advanceTimeBy(1_000)
                }
                advanceTimeBy(60_000)
                assertEquals(8, a.table.heldShards().size)
                assertTrue(a.table.confirmed)
            }

        @Test
        fun `after errors in calls to the store`() = after { fleet, _ -> fleet.store.nextFailure = { throw StackOverflowError() } }

        @Test
        fun `after timeouts inside calls to the store`() =
            after { fleet, _ -> fleet.store.nextFailure = { withTimeout(1) { awaitCancellation() } } }

        @Test
        fun `after errors in its own rounds`() = after { _, a -> a.nextFailure = StackOverflowError() }
    }

    @Nested
    inner class `shards whose grants can't be read` {
        @Test
        fun `are decided by their new holder after a hand-over`() =
            control { fleet ->
                fleet.start("a")
                advanceTimeBy(5_000)
                val b = fleet.start("b")
                b.grantsFailure = StackOverflowError()
                advanceTimeBy(60_000)
                assertTrue(b.table.heldShards().isNotEmpty())
                assertTrue(fleet.deciders().all { it.size == 1 }, "${fleet.deciders()}")
            }
    }

    @Test
    fun `an epoch older than the newest learnt one is not current`() =
        control { fleet ->
            val a = fleet.start("a")
            advanceTimeBy(2_000)
            a.table.learn(ShardHolder(shards[0], DaemonId("z"), Address("z"), Epoch(5)))
            assertFalse(a.table.isCurrent(shards[0], Epoch(4)))
            assertTrue(a.table.isCurrent(shards[0], Epoch(5)))
            a.table.learn(ShardHolder(shards[0], DaemonId("y"), Address("y"), Epoch(3)))
            assertEquals(Address("z"), a.table.holderOf(shards[0])?.peer)
        }

    private fun target(zone: String) = Target(TargetId("t1"), TargetKind.ENGINE, ServiceName("m"), ZoneName(zone), Address("t1:1"))
}
