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
    fun `passes whole events with the numbers of the first and last`() {
        val events = assertNotNull(add("id: 3\ndata: a\n\nid: 4\ndata: b\n\n"))
        assertEquals("id: 3\ndata: a\n\nid: 4\ndata: b\n\n", String(events.bytes))
        assertEquals(3L, events.firstId)
        assertEquals(4L, events.lastId)
        assertFalse(splitter.hasPartialEvent)
    }

    @Test
    fun `keeps an event back until its end has come`() {
        assertNull(add("id: 3\nda"))
        assertTrue(splitter.hasPartialEvent)
        val events = assertNotNull(add("ta: a\n\nid: 4\n"))
        assertEquals("id: 3\ndata: a\n\n", String(events.bytes))
        assertTrue(splitter.hasPartialEvent)
    }

    @Test
    fun `an end may be cut between its two line breaks`() {
        assertNull(add("id: 3\ndata: a\n"))
        assertEquals(3L, add("\n")?.lastId)
    }

    @Test
    fun `line breaks may be preceded by carriage returns`() {
        assertEquals(3L, add("id: 3\r\ndata: a\r\n\r\n")?.lastId)
    }

    @Test
    fun `an id inside of data is none`() {
        assertEquals(3L, add("id: 3\ndata: id: 9\n\n")?.lastId)
    }
}
