// Deciders of shards in a simulated fleet under single faults.
package yuccaferry.decisions.shards

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private val settings = ShardSettings(shardsPerRegion = 16)

class ShardScenariosTest {
    private val fleet = SimulatedFleet(seed = 7, settings)

    private fun settle(size: Int) {
        repeat(size) { fleet.start(zone = it % 3) }
        fleet.run(20_000)
        assertTrue(fleet.settled())
        fleet.checker.longestGapMillis = 0
    }

    private fun shardsOf(daemon: SimulatedDaemon) = shardIds(settings).filter { daemon in fleet.deciders(it) }

    private fun holders() = shardIds(settings).associateWith { shard -> fleet.deciders(shard).map { it.record.id } }

    @Nested
    inner class `the store is unreachable for all` {
        @Test
        fun `every holder goes on deciding and none changes`() {
            settle(9)
            val before = holders()
            fleet.storeUp = false
            fleet.run(fleet.now + 600_000)
            assertEquals(before, holders())
            fleet.storeUp = true
            fleet.run(fleet.now + 60_000)
            assertEquals(before, holders())
            println("longest gap through an outage of 600 s and its end: ${fleet.checker.longestGapMillis} ms")
            assertTrue(fleet.checker.longestGapMillis < 3_000, "gap ${fleet.checker.longestGapMillis} ms")
        }

        @Test
        fun `holders stop at the extension limit`() {
            settle(3)
            fleet.storeUp = false
            fleet.run(fleet.now + settings.maxExtensionMillis + 20_000)
            assertEquals(emptyList(), holders().values.flatten())
        }

        @Test
        fun `a region of two daemons extends no leases`() {
            settle(2)
            fleet.storeUp = false
            fleet.run(fleet.now + 20_000)
            assertEquals(emptyList(), holders().values.flatten())
        }
    }

    @Nested
    inner class `a holder is cut off` {
        @Test
        fun `from the store alone it loses its shards to others`() {
            settle(5)
            val cut = fleet.daemons.first()
            cut.storeReachable = false
            fleet.run(fleet.now + 14_000)
            assertTrue(shardsOf(cut).isNotEmpty(), "still has a valid lease or lease extension")
            fleet.run(fleet.now + 31_000)
            assertEquals(emptyList(), shardsOf(cut))
            assertTrue(fleet.settled())
        }

        @Test
        fun `with a minority it stops when its lease ends`() {
            settle(5)
            val minority = fleet.daemons.take(2)
            minority.forEach { it.group = 1 }
            minority.forEach { it.storeReachable = false }
            fleet.run(fleet.now + 15_000)
            assertEquals(emptyList(), minority.flatMap(::shardsOf))
            fleet.run(fleet.now + 30_000)
            assertTrue(fleet.settled())
        }

        @Test
        fun `with a majority it goes on deciding although one other daemon reaches the store`() {
            settle(5)
            val before = holders()
            val alone = fleet.daemons.last()
            fleet.daemons.filter { it !== alone }.forEach { it.storeReachable = false }
            fleet.run(fleet.now + 120_000)
            assertEquals(before, holders())
        }
    }

    @Nested
    inner class `a holder pauses past its lease` {
        @Test
        fun `it may not decide when it resumes`() {
            settle(5)
            val paused = fleet.daemons.first()
            paused.pausedUntil = fleet.now + 60_000
            fleet.run(fleet.now + 59_000)
            assertEquals(emptyList(), shardsOf(paused))
            assertTrue(fleet.settled(), "others have taken its shards over")
        }
    }

    @Nested
    inner class `daemons stop` {
        @Test
        fun `a third of them at once and their shards are decided within 45 seconds`() {
            settle(9)
            fleet.daemons.filter { it.record.zone == fleet.daemons[0].record.zone }.forEach { it.alive = false }
            fleet.run(fleet.now + 45_000)
            assertTrue(fleet.settled())
            println("longest gap when a third ends at once: ${fleet.checker.longestGapMillis} ms")
        }

        @Test
        fun `one of a large region and its shards are decided within 60 seconds although full reads are rare`() {
            repeat(60) { fleet.start(zone = it % 3) }
            fleet.run(60_000)
            fleet.checker.longestGapMillis = 0
            fleet.deciders(shardIds(settings).first()).single().alive = false
            fleet.run(fleet.now + 60_000)
            assertTrue(fleet.settled())
            println("longest gap when one of 60 ends: ${fleet.checker.longestGapMillis} ms")
        }

        @Test
        fun `nearly all one after the other and their replacements join the voter set`() {
            settle(5)
            val old = fleet.daemons.toList()
            old.forEach {
                fleet.start()
                it.alive = false
                fleet.run(fleet.now + 45_000)
            }
            assertTrue(fleet.settled())
            assertTrue(old.none { it.record.id in fleet.store.voterSet }, "${fleet.store.voterSet}")
        }

        @Test
        fun `gracefully and no shard is without a decider for a second`() {
            settle(5)
            val old = fleet.daemons.toList()
            old.forEach {
                fleet.start()
                fleet.run(fleet.now + 15_000)
                fleet.send(it, ShardEvent.Leave)
                fleet.run(fleet.now + 15_000)
            }
            assertTrue(old.none { it.alive })
            assertTrue(fleet.settled())
            println("longest gap when all are replaced gracefully: ${fleet.checker.longestGapMillis} ms")
            assertTrue(fleet.checker.longestGapMillis < 1_000, "gap ${fleet.checker.longestGapMillis} ms")
        }

        @Test
        fun `a majority at once and takeovers wait for the extension limit`() {
            settle(5)
            fleet.daemons.drop(2).forEach { it.alive = false }
            fleet.run(fleet.now + settings.maxExtensionMillis - 60_000)
            assertTrue(shardIds(settings).any { fleet.deciders(it).isEmpty() })
            fleet.run(fleet.now + 180_000)
            assertTrue(fleet.settled())
        }
    }

    @Nested
    inner class `answers are lost` {
        @Test
        fun `a repeated write succeeds when the first one was applied`() {
            fleet.answerLoss = 0.5
            repeat(5) { fleet.start(zone = it % 3) }
            fleet.run(60_000)
            fleet.daemons.first().alive = false
            fleet.run(fleet.now + 90_000)
            assertTrue(fleet.settled())
        }
    }
}
