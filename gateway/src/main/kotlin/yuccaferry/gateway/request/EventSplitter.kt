// Splits a stream of bytes into complete server-sent events (WHATWG HTML, section 9.2).
package yuccaferry.gateway.request

/**
 * Complete events, or comments and empty lines that end like events.
 *
 * @property bytes the events as received.
 * @property ids number of each event in order, null for an event that has none; comments and empty lines are no events.
 */
internal class Events(
    val bytes: ByteArray,
    val ids: List<Long?>,
) {
    /** Number of the first event, null if it has none. */
    val firstId: Long? get() = ids.firstOrNull()

    /** Number of the last event, null if it has none. */
    val lastId: Long? get() = ids.lastOrNull()
}

/** Buffers bytes until events are complete. */
internal class EventSplitter {
    private var buffer = ByteArray(INITIAL_BYTES)
    private var size = 0

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = size > 0

    /** Whether the incomplete event is larger than [MAX_EVENT_BYTES]. */
    val isTooLong: Boolean get() = size > MAX_EVENT_BYTES

    /** Adds [bytes]; returns the events that they complete, or null if there are none. */
    fun add(bytes: ByteArray): Events? {
        val added = size
        if (size + bytes.size > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, size + bytes.size))
        bytes.copyInto(buffer, size)
        size += bytes.size
        val end = lastEventEnd(from = added)
        if (end == 0) return null
        val whole = buffer.copyOf(end)
        buffer.copyInto(buffer, 0, end, size)
        size -= end
        return Events(whole, idsOf(String(whole, Charsets.ISO_8859_1)))
    }

    private fun idsOf(text: String): List<Long?> {
        val ids = mutableListOf<Long?>()
        var hasFields = false
        var id: Long? = null
        for (line in text.lineSequence()) {
            if (line.isEmpty() && hasFields) ids += id
            if (line.isEmpty()) id = null
            hasFields = line.isNotEmpty() && (hasFields || !line.startsWith(':'))
            if (line.startsWith("id:")) id = line.substring(ID_START).trim().toLongOrNull()
        }
        return ids
    }

    /** Returns the index after the last event that ends at or after [from]; zero if there is none. */
    private fun lastEventEnd(from: Int): Int {
        for (index in size - 1 downTo maxOf(from, 1)) {
            if (buffer[index] != NEWLINE) continue
            if (buffer[index - 1] == NEWLINE) return index + 1
            if (index >= 3 && buffer[index - 1] == RETURN && buffer[index - 2] == NEWLINE) return index + 1
        }
        return 0
    }

    companion object {
        /** Maximum bytes of one event: many times the largest of a model engine. */
        const val MAX_EVENT_BYTES = 262_144

        private const val INITIAL_BYTES = 512
        private const val NEWLINE = '\n'.code.toByte()
        private const val RETURN = '\r'.code.toByte()
        private const val ID_START = "id:".length
    }
}
