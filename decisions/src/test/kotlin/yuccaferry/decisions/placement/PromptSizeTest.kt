// Block hashes, token estimates and the target table.
package yuccaferry.decisions.placement

import org.junit.jupiter.api.Nested
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PromptSizeTest {
    @Nested
    inner class BlockHashes {
        private val start = "a".repeat(2_048)

        @Test
        fun `cover whole blocks only`() {
            assertEquals(0, blockHashes("a".repeat(1_023)).size)
            assertEquals(1, blockHashes("a".repeat(1_024)).size)
            assertEquals(32, blockHashes("a".repeat(1_000_000)).size)
        }

        @Test
        fun `are shared up to the first difference and not after it`() {
            val one = blockHashes(start + "b".repeat(2_048))
            val two = blockHashes(start + "c".repeat(1_024) + "b".repeat(1_024))
            assertEquals(one.take(2), two.take(2))
            assertNotEquals(one[2], two[2])
            assertNotEquals(one[3], two[3])
        }

        @Test
        fun `count bytes rather than characters and do not split a character`() {
            assertEquals(2, blockHashes("é".repeat(1_024)).size)
            val pairs = "x" + "\uD83C\uDFA8".repeat(9_000)
            assertEquals(blockHashes(pairs), blockHashes(pairs + "tail"))
        }
    }

    @Nested
    inner class TokenEstimates {
        @Test
        fun `round up to one token for four bytes`() {
            assertEquals(0, estimateTokens(""))
            assertEquals(1, estimateTokens("abc"))
            assertEquals(2, estimateTokens("abcde"))
            assertEquals(1, estimateTokens("\uD83C\uDFA8"))
            assertEquals(2, estimateTokens("žžž"))
        }

        @Test
        fun `converge to what engines report`() {
            var estimator = TokenEstimator()
            repeat(200) { estimator = estimator.observe(estimated = 1_000, reported = 1_500) }
            assertEquals(1_500.0, estimator.correct(1_000).toDouble(), 5.0)
        }

        @Test
        fun `change little by one extreme report`() {
            assertTrue(TokenEstimator().observe(estimated = 10, reported = 1_000_000).correct(1_000) < 1_200)
        }
    }

    @Nested
    inner class Tables {
        private val table = TargetTable()

        @Test
        fun `keep totals through changes and removals`() {
            table.put(engine("a", prefill = 100, long = 1))
            table.put(engine("b", prefill = 50))
            table.put(engine("a", prefill = 30))
            assertEquals(80, table.outstandingPrefillTokens)
            assertEquals(0, table.longPrefills)
            table.remove(TargetId("b"))
            assertEquals(30, table.outstandingPrefillTokens)
            assertEquals(listOf(TargetId("a")), table.views.map { it.id })
        }

        @Test
        fun `find a target after others were added and removed`() {
            repeat(50) { table.put(engine("e$it", prefill = it.toLong())) }
            repeat(25) { table.remove(TargetId("e${it * 2}")) }
            assertEquals(49, table[TargetId("e49")]?.outstandingPrefillTokens)
            assertNull(table[TargetId("e48")])
        }

        private fun engine(
            id: String,
            prefill: Long = 0,
            long: Int = 0,
        ) = TargetView(
            TargetId(id),
            ZoneName("kranj-c"),
            TargetKind.ENGINE,
            ServiceName("svetovalec"),
            outstandingPrefillTokens = prefill,
            longPrefills = long,
        )
    }
}
