/*
 * Checks the numbered pieces of an engine's answer before they reach the caller, so that the caller
 * gets each piece of its own request once, in order, and a truncated answer never looks complete.
 */
package yuccaferry.decisions.lifecycle

import yuccaferry.model.RequestId

/** Decision on a piece, or on the end of an answer, that arrived from an engine. */
sealed interface StreamVerdict {
    /** The piece is passed on to the caller. */
    data object Deliver : StreamVerdict

    /** The piece is dropped, because the caller already has it. */
    data object Skip : StreamVerdict

    /** The answer is complete. */
    data object Complete : StreamVerdict

    /** The rest of this stream is invalid; the answer must be continued from the next missing piece on another target. */
    data class Fault(
        val reason: String,
    ) : StreamVerdict
}

/**
 * Checks one answer across all the streams that deliver it.
 *
 * @param request id that every piece must carry.
 */
class StreamCheck(
    private val request: RequestId,
) {
    /** Number of the next piece that the caller needs. */
    var nextPiece = 0
        private set

    /** Checks the piece [number] that carries [id]. */
    fun piece(
        id: RequestId,
        number: Int,
    ): StreamVerdict {
        if (id != request) return StreamVerdict.Fault("piece of request $id in the answer to $request")
        if (number < nextPiece) return StreamVerdict.Skip
        if (number > nextPiece) return StreamVerdict.Fault("piece $number arrived when $nextPiece was due")
        nextPiece++
        return StreamVerdict.Deliver
    }

    /** Checks the end of an answer that has [pieces] pieces according to the engine. */
    fun finish(
        id: RequestId,
        pieces: Int,
    ): StreamVerdict {
        if (id != request) return StreamVerdict.Fault("end of request $id in the answer to $request")
        if (pieces != nextPiece) return StreamVerdict.Fault("end after $pieces pieces when $nextPiece arrived")
        return StreamVerdict.Complete
    }
}
