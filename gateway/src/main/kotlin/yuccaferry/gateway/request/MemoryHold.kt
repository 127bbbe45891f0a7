/*
 * Memory of an engine that is set aside for one attempt. The hold is short and renewed while the attempt lasts, so that the
 * memory is free again soon after this daemon dies.
 */
package yuccaferry.gateway.request

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.port.EngineMemory
import yuccaferry.gateway.port.ReserveResult
import yuccaferry.gateway.view.Target

/** Memory for [tokens] tokens at [target] under [id]. */
internal class MemoryHold(
    private val loop: EventLoop,
    private val memory: EngineMemory,
    val target: Target,
    val id: String,
    private val tokens: Long,
) {
    private var renewal: Job? = null

    /** Sets the memory aside; when the result is not [ReserveResult.HELD], nothing has to be closed. */
    suspend fun open(): ReserveResult {
        var result = ReserveResult.UNKNOWN
        try {
            result = memory.reserve(target, id, tokens, HOLD_MILLIS)
        } finally {
            // An order without an answer may have been carried out.
            if (result == ReserveResult.UNKNOWN) giveBack()
        }
        if (result == ReserveResult.HELD) renewal = loop.scope.launch { renew() }
        return result
    }

    /** Gives the memory back, in the background. */
    fun close() {
        renewal?.cancel()
        giveBack()
    }

    private suspend fun renew() {
        while (true) {
            delay(RENEW_MILLIS)
            memory.reserve(target, id, tokens, HOLD_MILLIS)
        }
    }

    private fun giveBack() {
        loop.scope.launch {
            repeat(RELEASE_TRIES) {
                if (memory.release(target, id)) return@launch
                delay(RELEASE_PAUSE_MILLIS)
            }
        }
    }

    private companion object {
        /** Milliseconds of a hold: below the 4 s after which memory without a request counts as leaked. */
        const val HOLD_MILLIS = 3_800L

        /** Milliseconds between renewals: one may fail. */
        const val RENEW_MILLIS = 1_700L
        const val RELEASE_TRIES = 3
        const val RELEASE_PAUSE_MILLIS = 250L
    }
}
