// Limits the memory of all answers that are buffered before any of them is sent to its caller.
package yuccaferry.gateway.request

/** Memory for buffered answers; confined to the event loop. */
internal class BufferBudget(
    private val maxBytes: Long = MAX_BYTES,
) {
    private var usedBytes = 0L

    /** Returns the share of one request, which is given back when it is closed. */
    fun share() = Share()

    /** Memory that the answers to one request take. */
    inner class Share : AutoCloseable {
        private var takenBytes = 0L

        /** Takes [bytes] more; returns false if the budget doesn't have them. */
        fun take(bytes: Int): Boolean {
            if (usedBytes + bytes > maxBytes) return false
            usedBytes += bytes
            takenBytes += bytes
            return true
        }

        override fun close() {
            usedBytes -= takenBytes
            takenBytes = 0
        }
    }

    private companion object {
        /** Bytes of all buffered answers: a fifth of the heap that the deploy file sets. */
        const val MAX_BYTES = 32L * 1_024 * 1_024
    }
}
