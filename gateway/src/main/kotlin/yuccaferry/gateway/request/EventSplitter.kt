// Splits a stream of bytes into complete server-sent events (WHATWG HTML, section 9.2).
package yuccaferry.gateway.request

import java.io.ByteArrayOutputStream

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
    private val rest = ByteArrayOutputStream()

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = rest.size() > 0

    /** Adds [bytes]; returns the events that they complete, or null if there are none. */
    fun add(bytes: ByteArray): Events? {
        rest.writeBytes(bytes)
        val all = rest.toByteArray()
        val end = lastEventEnd(all)
        if (end == 0) return null
        rest.reset()
        rest.write(all, end, all.size - end)
        val whole = all.copyOf(end)
        val ids = ID_LINE.findAll(String(whole, Charsets.ISO_8859_1)).mapNotNull { it.groupValues[1].toLongOrNull() }.toList()
        return Events(whole, ids.firstOrNull(), ids.lastOrNull())
    }

    private fun lastEventEnd(bytes: ByteArray): Int {
        for (index in bytes.size - 1 downTo 1) {
            if (bytes[index] != NEWLINE) continue
            if (bytes[index - 1] == NEWLINE) return index + 1
            if (index >= 3 && bytes[index - 1] == RETURN && bytes[index - 2] == NEWLINE) return index + 1
        }
        return 0
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
        val ID_LINE = Regex("(?:^|\\n)id:[ ]?([0-9]+)")
    }
}
