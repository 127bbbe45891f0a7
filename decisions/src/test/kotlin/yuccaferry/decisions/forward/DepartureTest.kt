package yuccaferry.decisions.forward

import yuccaferry.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class DepartureTest {
    private val departure = Departure(selectiveFrom = MonotonicTime(2_500), end = MonotonicTime(7_700))

    private fun accepts(
        now: Long,
        deadline: Long,
    ) = departure.accepts(MonotonicTime(now), MonotonicTime(deadline))

    @Test
    fun `at first all requests are accepted`() = assertTrue(accepts(now = 2_499, deadline = 12_499))

    @Test
    fun `later a request is accepted if its answer is due before the end`() = assertTrue(accepts(now = 6_100, deadline = 7_600))

    @Test
    fun `later a request is refused if its answer may come after the end`() {
        assertFalse(accepts(now = 2_500, deadline = 12_500))
        assertFalse(accepts(now = 6_101, deadline = 7_601))
        assertFalse(accepts(now = 7_700, deadline = 7_700))
    }
}
