// Ranks that each policy gives on constructed target tables.
package yuccaferry.decisions.placement

import org.junit.jupiter.api.Nested
import yuccaferry.model.AccountName
import yuccaferry.model.EngineLimits
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlacementPolicyTest {
    @Nested
    inner class Settings {
        @Test
        fun `select each policy`() {
            assertEquals(RoundRobin, PlacementPolicy.of("round-robin"))
            assertEquals(LeastOutstandingRequests, PlacementPolicy.of("least-outstanding"))
            assertEquals(LengthAware(), PlacementPolicy.of("length-aware"))
            assertNull(PlacementPolicy.of("random"))
        }
    }

    @Nested
    inner class AnyPolicy {
        @Test
        fun `ranks no target that is not eligible`() {
            val table = tableOf(engine("a", zone = "out"), engine("b", zone = "in"), engine("c", zone = "out"))
            for (policy in PlacementPolicy.all) {
                for (turn in 0L..50L) {
                    val ranked = policy.rank(prompt(1_000), table, turn) { it.zone == ZoneName("in") }
                    assertEquals(listOf(TargetId("b")), ranked, "$policy turn $turn")
                }
            }
        }

        @Test
        fun `ranks nothing when nothing is eligible`() {
            for (policy in PlacementPolicy.all) {
                assertEquals(emptyList(), policy.rank(prompt(1_000), tableOf(engine("a")), 0) { false })
                assertEquals(emptyList(), policy.rank(prompt(1_000), TargetTable(), 0))
            }
        }

        @Test
        fun `ranks each target once and at most four`() {
            val table = tableOf(*Array(20) { engine("e$it") })
            for (policy in PlacementPolicy.all) {
                val ranked = policy.rank(prompt(1_000, prefix = "thread"), table, turn = 3)
                assertEquals(ranked.distinct(), ranked)
                assertTrue(ranked.size in 1..4, "$policy ranked ${ranked.size}")
            }
        }
    }

    @Nested
    inner class Baselines {
        @Test
        fun `round robin takes each target in turn`() {
            val table = tableOf(engine("a"), engine("b", prefill = 900_000), engine("c"))
            val firsts = (0L..5L).map { RoundRobin.rank(prompt(1_000), table, it).first() }
            assertEquals(firsts.take(3), firsts.drop(3))
            assertEquals(3, firsts.toSet().size)
        }

        @Test
        fun `least outstanding orders by requests and ignores their length`() {
            val table = tableOf(engine("a", requests = 3), engine("b", requests = 1, prefill = 900_000), engine("c", requests = 2))
            assertEquals(listOf("b", "c", "a").map(::TargetId), LeastOutstandingRequests.rank(prompt(1_000), table, 7))
        }
    }

    @Nested
    inner class LengthAwarePolicy {
        private val policy = LengthAware()

        @Test
        fun `short prompts avoid engines with a long prefill while others have free capacity`() {
            val busy = engine("busy", prefill = 300_000, requests = 1, longPrefills = 1)
            val table = tableOf(busy, engine("a", requests = 5), engine("b", requests = 5), engine("c", requests = 5))
            for (turn in 0L..200L) {
                assertNotEquals(busy.id, policy.rank(prompt(1_000), table, turn).first(), "turn $turn")
            }
        }

        @Test
        fun `long prompts use at most half of the engines, however many long prefills there are`() {
            val table = tableOf(*Array(20) { engine("e$it", prefill = 500_000, longPrefills = 1, longLimit = 9) })
            val used = (0L..500L).map { policy.rank(prompt(200_000), table, it).first() }.toSet()
            assertTrue(used.size in 2..10, "long prompts used ${used.size} engines")
        }

        @Test
        fun `a long prompt goes to the engine whose limit on long prefills is not reached`() {
            val full = Array(5) { engine("full$it", longPrefills = 1) }
            val table = tableOf(engine("free", requests = 20), *full)
            for (turn in 0L..50L) assertEquals(TargetId("free"), policy.rank(prompt(200_000), table, turn).first())
        }

        @Test
        fun `a cold engine at its request limit comes last`() {
            val table = tableOf(engine("cold", requests = 2, warm = false), engine("warm", requests = 20, prefill = 90_000))
            for (turn in 0L..50L) assertEquals(TargetId("warm"), policy.rank(prompt(1_000), table, turn).first())
        }

        @Test
        fun `requests of one conversation go to one engine`() {
            val table = tableOf(*Array(24) { engine("e$it") })
            val used = (0L..100L).map { policy.rank(prompt(3_000, prefix = "thread"), table, it).first() }.toSet()
            assertEquals(1, used.size)
        }

        @Test
        fun `a conversation leaves an engine that is loaded above the bound`() {
            val views = Array(24) { engine("e$it") }
            val table = tableOf(*views)
            val preferred = policy.rank(prompt(3_000, prefix = "thread"), table, 0).first()
            table.put(engine(preferred.value, prefill = 50_000))
            assertNotEquals(preferred, policy.rank(prompt(3_000, prefix = "thread"), table, 1).first())
        }

        @Test
        fun `different conversations spread over the engines`() {
            val table = tableOf(*Array(24) { engine("e$it") })
            val used = (0L..300L).map { policy.rank(prompt(3_000, prefix = "thread $it"), table, it).first() }.toSet()
            assertTrue(used.size >= 20, "conversations used ${used.size} of 24 engines")
        }

        @Test
        fun `reads few views of a large table`() {
            assertTrue(viewsRead(requests = 5) <= 8)
        }

        @Test
        fun `reads a bounded number of views when all targets are full`() {
            assertTrue(viewsRead(requests = 32) <= 100)
        }

        private fun viewsRead(requests: Int): Int {
            val table = tableOf(*Array(1_500) { engine("e$it", requests = requests) })
            var read = 0
            policy.rank(prompt(3_000, prefix = "thread"), table, 5) {
                read++
                true
            }
            return read
        }

        @Test
        fun `finds the only eligible target of a large table`() {
            val table = tableOf(*Array(1_500) { engine("e$it") })
            assertEquals(listOf(TargetId("e777")), policy.rank(prompt(1_000), table, 5) { it.id == TargetId("e777") })
        }

        @Test
        fun `shorter prompts are more urgent, and waiting makes any prompt more urgent`() {
            assertTrue(policy.priorityOf(prompt(4_000)) < policy.priorityOf(prompt(4_001)))
            assertTrue(policy.priorityOf(prompt(100_000)) < policy.priorityOf(prompt(100_001)))
            assertTrue(policy.priorityOf(prompt(500_000), waitedMillis = 60_000) < policy.priorityOf(prompt(1_000)))
        }
    }

    private fun tableOf(vararg views: TargetView) = TargetTable().apply { views.forEach(::put) }

    private fun engine(
        id: String,
        zone: String = "attica-a",
        requests: Int = 0,
        prefill: Long = 0,
        longPrefills: Int = 0,
        longLimit: Int = 1,
        warm: Boolean = true,
    ) = TargetView(
        id = TargetId(id),
        zone = ZoneName(zone),
        kind = TargetKind.ENGINE,
        serves = ServiceName("brush-llm"),
        limits = EngineLimits(longPrefills = longLimit),
        outstandingRequests = requests,
        outstandingPrefillTokens = prefill,
        longPrefills = longPrefills,
        warm = warm,
    )

    private fun prompt(
        tokens: Long,
        prefix: String = "",
    ) = Demand(
        request = RequestId("r1"),
        account = AccountName("studio"),
        kind = TargetKind.ENGINE,
        serves = ServiceName("brush-llm"),
        promptTokens = tokens,
        heldTokens = tokens,
        prefixBlocks = if (prefix.isEmpty()) emptyList() else blockHashes(prefix.padEnd(12_000, '.')),
    )
}
