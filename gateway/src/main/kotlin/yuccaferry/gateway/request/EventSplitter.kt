// Splits a stream of bytes into complete server-sent events (WHATWG HTML, section 9.2).
package yuccaferry.gateway.request

/**
 * One or more complete events.
 *
 * @property bytes the events as received.
 * @property firstId number of the first event, null if it has none.
 * @property lastId number of the last event, null if it has none.
 */
internal class Events(
    val bytes: ByteArray,
    val firstId: Long?,
    val lastId: Long?,
)

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
        val ids = ID_LINE.findAll(String(whole, Charsets.ISO_8859_1)).mapNotNull { it.groupValues[1].toLongOrNull() }.toList()
        return Events(whole, ids.firstOrNull(), ids.lastOrNull())
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
        private val ID_LINE = Regex("(?:^|\\n)id:[ ]?([0-9]+)")
    }
}
