package yuccaferry.gateway.net

import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertIs

class HttpResponseWriterTest {
    private val channel = EmbeddedChannel()
    private val writer = HttpResponseWriter(channel, mayKeepOpen = true)
    private val invalid = listOf(Header("no name", "value"))

    /** Guards against a request without an answer: a response of which nothing was sent counted as started. */
    @Test
    fun `a response whose headers can't be set leaves room for another`() {
        assertFailsWith<IllegalArgumentException> { writer.send(200, invalid, ByteArray(0)) }
        assertFailsWith<IllegalArgumentException> { writer.start(200, invalid) }
        assertFalse(writer.isStarted)
        writer.send(502, emptyList(), ByteArray(0))
        assertEquals(502, assertIs<HttpResponse>(channel.readOutbound()).status().code())
    }
}
