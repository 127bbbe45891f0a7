/*
 * Follows an engine's events and stops when none arrives in time, so that a hung engine uses only a bounded part of
 * the time until the request's deadline.
 */
package yuccaferry.daemon.request

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineEvent
import yuccaferry.daemon.port.TargetError
import yuccaferry.model.MonotonicTime

private const val EVENT_BUFFER = 64

/**
 * Bounds the time between events of one stream.
 *
 * @param firstPieceMillis time allowed until the first piece.
 * @param nextPieceMillis time allowed between pieces.
 */
internal class StallMonitor(
    private val clock: Clock,
    private val deadline: MonotonicTime,
    private val firstPieceMillis: Long,
    private val nextPieceMillis: Long,
) {
    private enum class End { CLOSED, STALLED }

    private var end = End.CLOSED

    /** Passes events to [accept] until it returns false, the flow ends, or no event arrives in time. */
    suspend fun follow(
        events: Flow<EngineEvent>,
        accept: suspend (EngineEvent) -> Boolean,
    ) = coroutineScope {
        val channel = events.buffer(EVENT_BUFFER).produceIn(this)
        var timeoutMillis = firstPieceMillis
        while (true) {
            val wait = minOf(timeoutMillis, deadline - clock.now())
            val received = if (wait > 0) withTimeoutOrNull(wait) { channel.receiveCatching() } else null
            if (received == null) {
                end = End.STALLED
                break
            }
            val event = received.getOrNull() ?: break
            if (event is EngineEvent.Piece) timeoutMillis = nextPieceMillis
            if (!accept(event)) break
        }
        channel.cancel()
    }

    /** Returns why the stream ended without a terminal event. */
    fun error(): TargetError =
        when (end) {
            End.STALLED -> TargetError.TimedOut("the engine sent nothing in time")
            End.CLOSED -> TargetError.Broken("the answer ended before it was complete")
        }
}
