package yuccaferry.gateway.request

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EventSplitterTest {
    private val splitter = EventSplitter()

    private fun add(text: String) = splitter.add(text.toByteArray())

    @Test
    fun `returns complete events with the numbers of the first and last`() {
        val events = assertNotNull(add("id: 3\ndata: a\n\nid: 4\ndata: b\n\n"))
        assertEquals("id: 3\ndata: a\n\nid: 4\ndata: b\n\n", String(events.bytes))
        assertEquals(3L, events.firstId)
        assertEquals(4L, events.lastId)
        assertFalse(splitter.hasPartialEvent)
    }

    @Test
    fun `buffers an event until it is complete`() {
        assertNull(add("id: 3\nda"))
        assertTrue(splitter.hasPartialEvent)
        val events = assertNotNull(add("ta: a\n\nid: 4\n"))
        assertEquals("id: 3\ndata: a\n\n", String(events.bytes))
        assertTrue(splitter.hasPartialEvent)
    }

    @Test
    fun `finds the end of an event that is split between its two line breaks`() {
        assertNull(add("id: 3\ndata: a\n"))
        assertEquals(3L, add("\n")?.lastId)
    }

    @Test
    fun `accepts carriage returns before line breaks`() {
        assertEquals(3L, add("id: 3\r\ndata: a\r\n\r\n")?.lastId)
    }

    @Test
    fun `ignores an id inside data`() {
        assertEquals(3L, add("id: 3\ndata: id: 9\n\n")?.lastId)
    }

    @Test
    fun `returns no number for an event without one, wherever it stands`() {
        assertEquals(listOf(null, 3L, null), add("data: a\n\nid: 3\ndata: b\n\nid: x\ndata: c\n\n")?.ids)
    }

    @Test
    fun `counts neither comments nor empty lines as events`() {
        assertEquals(listOf<Long?>(3L), add(": a\n\n\n\n: b\nid: 3\ndata: b\n\n:\n\n")?.ids)
    }
}
