// Delays between tries: exponential with a bound, and jittered so that daemons do not retry at the same time.
package yuccaferry.daemon.ledger

import kotlinx.coroutines.delay
import kotlin.random.Random

/** The first and the longest delay between tries, in milliseconds. */
data class BackoffSettings(
    val baseMillis: Long,
    val maxMillis: Long,
)

/** Delays of one series of tries, each between half and all of the exponential step. */
internal class Backoff(
    private val settings: BackoffSettings,
    private val random: Random,
) {
    private var step = settings.baseMillis

    /** Waits before the next try, at most [limitMillis]. */
    suspend fun pause(limitMillis: Long = Long.MAX_VALUE) {
        val jittered = step / 2 + random.nextLong(step / 2 + 1)
        step = (step * 2).coerceAtMost(settings.maxMillis)
        delay(jittered.coerceAtMost(limitMillis))
    }
}
