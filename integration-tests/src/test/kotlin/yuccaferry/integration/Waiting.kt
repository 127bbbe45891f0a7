// Polls for a condition up to a time limit, instead of sleeping for a fixed time.
package yuccaferry.integration

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val POLL_INTERVAL = 20.milliseconds

/** Waits until [condition] holds; fails with [what] when it does not within [bound]. */
internal fun eventually(
    what: String,
    bound: Duration = 10.seconds,
    condition: () -> Boolean,
) = runBlocking {
    val held =
        withTimeoutOrNull(bound) {
            while (!condition()) delay(POLL_INTERVAL)
            true
        }
    check(held == true) { "not within $bound: $what" }
}
