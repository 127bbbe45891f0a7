// Limits the memory of messages that are buffered whole before any of them is sent on.
package yuccaferry.gateway.net

/** Memory for buffered messages of one kind; confined to the event loop. */
internal class BufferBudget(
    private val maxBytes: Long = MAX_BYTES,
) {
    private var usedBytes = 0L

    /** Returns the share of one message, which is given back when it is closed. */
    fun share() = Share()

    /** Memory that one message takes. */
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
        /** Bytes of all buffered messages of one kind: a fifth of the heap that the deploy file sets. */
        const val MAX_BYTES = 32L * 1_024 * 1_024
    }
}
