package yuccaferry.decisions.dispatch

import org.junit.jupiter.api.Nested
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RankReserveTest {
    private fun engine(
        active: Int,
        slots: Int = 12,
    ) = TargetLoad(TargetId("e"), ZoneName("z"), active, 0.0, 0, 0, 0.0, slots)

    @Nested
    inner class `slots of one engine` {
        @Test
        fun `the most urgent level may take any place, also beyond the slots`() {
            assertTrue(RankReserve.mayTakePlace(engine(active = 11), level = 0))
            assertTrue(RankReserve.mayTakePlace(engine(active = 14), level = 0))
            assertTrue(RankReserve.mayTakePlace(engine(active = 14), level = -1))
        }

        @Test
        fun `each less urgent level leaves more slots free`() {
            assertEquals(listOf(10, 9, 7), (1..3).map { level -> (0..12).count { RankReserve.mayTakePlace(engine(it), level) } })
        }

        @Test
        fun `no level is left without a slot`() {
            for (slots in 1..4) {
                for (level in 1..9) assertTrue(RankReserve.mayTakePlace(engine(active = 0, slots), level), "$slots slots, level $level")
            }
        }

        @Test
        fun `an engine without a free slot has no place for less urgent requests`() =
            assertFalse(RankReserve.mayTakePlace(engine(active = 1, slots = 1), level = 1))
    }

    @Nested
    inner class `engines for long prompts` {
        private val engines = (1..20).toList()

        @Test
        fun `the most urgent level may use all`() = assertEquals(engines, RankReserve.enginesForLong(engines, forShort = 8, level = 0))

        @Test
        fun `less urgent levels keep off the engines of short prompts and each other's`() {
            assertEquals((9..20).toList(), RankReserve.enginesForLong(engines, forShort = 8, level = 1))
            assertEquals((11..20).toList(), RankReserve.enginesForLong(engines, forShort = 8, level = 2))
        }

        @Test
        fun `some engines are left to every level`() {
            assertEquals((15..20).toList(), RankReserve.enginesForLong(engines, forShort = 20, level = 1))
            assertEquals((19..20).toList(), RankReserve.enginesForLong(engines, forShort = 20, level = 5))
            assertEquals(listOf(3), RankReserve.enginesForLong(listOf(1, 2, 3), forShort = 3, level = 1))
            assertEquals(listOf(1), RankReserve.enginesForLong(listOf(1), forShort = 1, level = 1))
        }
    }
}
