// Collects the body of one request while it is received.
package yuccaferry.gateway.net

/** The pieces of a body, whose memory comes from [share]; nothing is kept once the body was taken or dropped. */
internal class BodyBuffer(
    private val share: BufferBudget.Share,
) {
    private val pieces = ArrayList<ByteArray>()

    /** Number of bytes collected. */
    var size = 0
        private set

    /** Adds [piece]; returns false if there is no memory for it. */
    fun add(piece: ByteArray): Boolean {
        if (!share.take(piece.size)) return false
        pieces += piece
        size += piece.size
        return true
    }

    /** Returns the whole body, whose memory stays taken until the [share] is closed. */
    fun take(): ByteArray {
        if (pieces.size == 1) return pieces.removeLast()
        val whole = ByteArray(size)
        var at = 0
        for (piece in pieces) {
            piece.copyInto(whole, at)
            at += piece.size
        }
        pieces.clear()
        return whole
    }

    /** Forgets the body and gives its memory back. */
    fun drop() {
        pieces.clear()
        share.close()
    }
}
