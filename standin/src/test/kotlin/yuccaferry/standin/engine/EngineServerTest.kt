// The engine stand-in over HTTP: complete answers, and the faults of a stream.
package yuccaferry.standin.engine

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import yuccaferry.standin.LoopbackClient
import yuccaferry.standin.loopback
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

private val PIECE = Regex(""""id":"(\w+)","piece":(\d+),"choices":\[\{"index":0,"text":"(\w+ )"""")

class EngineServerTest {
    private val server = EngineServer(EngineSettings(startWarm = true, decodeTokensPerSecond = 1_000, restartMs = 0), loopback)
    private val client = LoopbackClient(runBlocking { server.start() })

    @AfterEach
    fun stop() {
        server.stop()
    }

    private fun body(
        extra: String = "",
        maxTokens: Int = 5,
    ) = """{"model":"m","prompt":"hello","max_tokens":$maxTokens,"request_id":"r"$extra}"""

    private fun text(events: String) = PIECE.findAll(events).joinToString("") { it.groupValues[3] }

    @Nested
    inner class `a complete answer` {
        @Test
        fun `has every piece, a finish reason and the end marker`(): Unit =
            runBlocking {
                val events = client.post("/v1/completions", body())
                assertEquals(PieceText.answer("m", "hello", end = 5), text(events))
                assertTrue(events.contains(""""piece":5,"choices":[{"index":0,"text":"","finish_reason":"length"}]"""))
                assertTrue(events.endsWith("data: [DONE]\n\n"))
            }

        @Test
        fun `continues from the requested first piece`(): Unit =
            runBlocking {
                val events = client.post("/v1/completions", body(""","first_piece":3,"delivered_text":"abc def ghi """"))
                assertEquals(PieceText.answer("m", "hello", end = 5, first = 3), text(events))
            }
    }

    @Nested
    inner class `a faulty answer` {
        @Test
        fun `breaks in the middle of the stream while the work continues`(): Unit =
            runBlocking {
                client.setFaults("""{"die_after_pieces":2,"times":1}""")
                assertNull(client.postOrNull("/v1/completions", body(maxTokens = 10_000)))
                assertTrue(client.get("/v1/requests").contains(""""kind":"request","id":"r""""))
                assertTrue(client.post("/v1/requests/r/cancel", "").contains("true"))
                assertFalse(client.get("/v1/requests").contains(""""id":"r""""))
            }

        @Test
        fun `ends cleanly without a finish reason`(): Unit =
            runBlocking {
                client.setFaults("""{"truncate":2}""")
                val events = client.post("/v1/completions", body())
                assertEquals(PieceText.answer("m", "hello", end = 2), text(events))
                assertFalse(events.contains("[DONE]"))
            }

        @Test
        fun `drops and duplicates pieces and swaps request ids`(): Unit =
            runBlocking {
                client.setFaults("""{"drop_piece":1,"duplicate_piece":3}""")
                val numbers = PIECE.findAll(client.post("/v1/completions", body())).map { it.groupValues[2].toInt() }
                assertEquals(listOf(0, 2, 3, 3, 4), numbers.toList())
                client.setFaults("""{"cross_request_ids":true}""")
                assertEquals("", text(client.post("/v1/completions", body())))
            }
    }

    @Nested
    inner class `a crash` {
        @Test
        fun `drops open streams and changes the incarnation`(): Unit =
            runBlocking {
                val before = client.get("/v1/requests").substringBefore(",")
                val stream = async(Dispatchers.IO) { client.postOrNull("/v1/completions", body(maxTokens = 100_000)) }
                withTimeout(5_000) { while (!client.get("/v1/requests").contains(""""id":"r"""")) yield() }
                client.setFaults("""{"crash":true}""")
                assertNull(stream.await())
                assertTrue(client.get("/v1/requests").substringBefore(",") != before)
            }
    }
}
