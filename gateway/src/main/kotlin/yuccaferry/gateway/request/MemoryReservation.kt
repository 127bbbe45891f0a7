/*
 * Reserves memory of an engine for one attempt. The reservation is short and renewed while the attempt lasts, so that the memory is
 * free again soon after this daemon crashes.
 */
package yuccaferry.gateway.request

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.view.Target

/** Reservation of memory for [tokens] tokens at [target] under [id]. */
internal class MemoryReservation(
    private val loop: EventLoop,
    private val memory: EngineMemory,
    val target: Target,
    val id: String,
    private val tokens: Long,
) {
    private var renewal: Job? = null

    /** Reserves the memory; [close] is needed only if the result is [ReserveResult.HELD]. */
    suspend fun open(): ReserveResult {
        var result = ReserveResult.UNKNOWN
        try {
            result = memory.reserve(target, id, tokens, HOLD_MILLIS)
        } finally {
            // Without an answer, the engine may have reserved the memory.
            if (result == ReserveResult.UNKNOWN) releaseInBackground()
        }
        if (result == ReserveResult.HELD) renewal = loop.scope.launch { renew() }
        return result
    }

    /** Stops the renewal and releases the memory in the background. */
    fun close() {
        renewal?.cancel()
        releaseInBackground()
    }

    private suspend fun renew() {
        while (true) {
            delay(RENEW_INTERVAL_MILLIS)
            memory.reserve(target, id, tokens, HOLD_MILLIS)
        }
    }

    private fun releaseInBackground() {
        loop.scope.launch {
            repeat(RELEASE_ATTEMPTS) {
                if (memory.release(target, id)) return@launch
                delay(RELEASE_PAUSE_MILLIS)
            }
        }
    }

    private companion object {
        /** Duration of a reservation in ms: below the 4 s after which memory without a request counts as leaked. */
        const val HOLD_MILLIS = 3_800L

        /** Milliseconds between renewals: one may fail before the reservation expires. */
        const val RENEW_INTERVAL_MILLIS = 1_700L
        const val RELEASE_ATTEMPTS = 3
        const val RELEASE_PAUSE_MILLIS = 250L
    }
}
