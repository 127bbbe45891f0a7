package yuccaferry.decisions.forward

import yuccaferry.decisions.routing.Rank
import yuccaferry.decisions.routing.Urgency
import yuccaferry.model.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RetryAdviceTest {
    private fun advice(
        request: String,
        backlogMillis: Double = 0.0,
        remainingMillis: Long = 10_000,
    ) = retryAfterMillis(RequestId(request), minMillis = 150, backlogMillis, remainingMillis)

    @Test
    fun `callers that are refused at once return spread over as long as they wait`() {
        val returns = (1..1_000).map { advice("request-$it", backlogMillis = 1_000.0) }
        assertTrue(returns.all { it in 1_000..2_000 })
        val tenths = returns.groupingBy { (it - 1_000) / 100 }.eachCount()
        assertTrue((0L..9L).all { tenths.getValue(it) in 60..140 }, tenths.toString())
    }

    @Test
    fun `the same request gets the same advice`() = assertEquals(advice("a"), advice("a"))

    @Test
    fun `nobody is told to wait longer than callers do`() {
        assertTrue((1..100).all { advice("request-$it", backlogMillis = 60_000.0, remainingMillis = 9_000) <= 3_000 })
    }

    @Test
    fun `nobody returns before the shortest wait`() {
        assertTrue((1..100).all { advice("request-$it", remainingMillis = 100) >= 150 })
    }

    @Test
    fun `more urgent callers return before less urgent ones within the same time`() {
        fun returns(level: Int) =
            (1..100).map {
                retryAfterMillis(
                    RequestId("r-$it"),
                    150,
                    900.0,
                    remainingMillis = 10_000,
                    Urgency(Rank(level), level, levels = 3),
                )
            }
        assertTrue(returns(level = 0).all { it in 900..1_200 })
        assertTrue(returns(level = 1).all { it in 1_200..1_500 })
        assertTrue(returns(level = 2).all { it in 1_500..1_800 })
    }
}
