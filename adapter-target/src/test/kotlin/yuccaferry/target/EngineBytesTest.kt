// Feeds invalid events to the decoder of engines' streams, on a thread with a small stack.
package yuccaferry.target

import yuccaferry.daemon.port.EngineEvent
import kotlin.test.Test
import kotlin.test.assertIs

private const val STACK_BYTES = 256L * 1024

class EngineBytesTest {
    private fun parse(data: String): EngineEvent {
        var outcome: Result<EngineEvent>? = null
        val thread = Thread(null, { outcome = runCatching { parseChunk(data) } }, "small-stack", STACK_BYTES)
        thread.start()
        thread.join()
        return checkNotNull(outcome).getOrThrow()
    }

    @Test
    fun `an invalid event fails the stream and throws nothing`() {
        val deep = "[".repeat(100_000) + "]".repeat(100_000)
        val invalid =
            listOf(
                "",
                "[",
                "null",
                "{}",
                "\uFFFD",
                "x".repeat(1 shl 20),
                deep,
                """{"x":$deep}""",
                """{"choices":$deep}""",
                """{"piece":1e999}""",
            )
        invalid.forEach { assertIs<EngineEvent.Failed>(parse(it), it.take(20)) }
    }

    @Test
    fun `unknown fields of an event are skipped at any depth`() {
        val deep = "[".repeat(100_000) + "]".repeat(100_000)
        assertIs<EngineEvent.Piece>(parse("""{"x":$deep,"id":"r","piece":0,"choices":[{"text":"a"}]}"""))
    }
}
