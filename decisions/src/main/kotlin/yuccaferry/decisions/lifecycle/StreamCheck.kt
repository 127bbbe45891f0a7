/*
 * Checks the numbered pieces of one engine's answer before any of them reaches the caller, so that the
 * caller sees each piece of its own request once, in order, and a truncated answer never looks complete.
 */
package yuccaferry.decisions.lifecycle

import yuccaferry.model.RequestId

/** What to do with something that arrived from an engine. */
sealed interface StreamVerdict {
    /** Pass the piece on to the caller. */
    data object Deliver : StreamVerdict

    /** Drop the piece: the caller has it already. */
    data object Skip : StreamVerdict

    /** The answer is complete. */
    data object Complete : StreamVerdict

    /** Nothing more of this stream can be trusted; continue from the next missing piece elsewhere. */
    data class Fault(
        val reason: String,
    ) : StreamVerdict
}

/**
 * Follows one answer over all the streams that are needed to get it.
 *
 * @param request id that every piece must carry.
 */
class StreamCheck(
    private val request: RequestId,
) {
    /** Number of the next piece that the caller needs. */
    var nextPiece = 0
        private set

    /** Judges the piece [number] that carries [id]. */
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

    /** Judges the end of an answer that the engine says has [pieces] pieces. */
    fun finish(
        id: RequestId,
        pieces: Int,
    ): StreamVerdict {
        if (id != request) return StreamVerdict.Fault("end of request $id in the answer to $request")
        if (pieces != nextPiece) return StreamVerdict.Fault("end after $pieces pieces when $nextPiece arrived")
        return StreamVerdict.Complete
    }
}
