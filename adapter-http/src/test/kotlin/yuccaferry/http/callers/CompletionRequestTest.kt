package yuccaferry.http.callers

import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

private const val STACK_BYTES = 256L * 1024

class CompletionRequestTest {
    /** Returns the path in the problem with [body], which is read on a thread with a small stack. */
    private fun problemPath(
        body: String,
        kind: CompletionKind = CompletionKind.CHAT,
    ): String? {
        var outcome: Result<String?> = Result.success(null)
        val thread =
            Thread(null, { outcome = runCatching { readCompletionRequest(kind, body).getError()?.path } }, "small-stack", STACK_BYTES)
        thread.start()
        thread.join()
        return outcome.getOrThrow()
    }

    private val deep = "[".repeat(100_000) + "]".repeat(100_000)

    /** Guards against a stack overflow in the thread that reads a request, which ended it without a refusal. */
    @Nested
    inner class `a body that is nested too deeply is refused with the field` {
        @Test
        fun `of its messages`() = assertEquals("$.messages", problemPath("""{"model":"m","messages":$deep}"""))

        @Test
        fun `that this layer doesn't use`() =
            assertEquals("$.tools", problemPath("""{"messages":[{"role":"user","content":"x"}],"model":"m","tools":$deep}"""))

        @Test
        fun `of its prompt`() = assertEquals("$.prompt", problemPath("""{"model":"m","prompt":$deep}""", CompletionKind.TEXT))
    }

    @Nested
    inner class `a body is refused with the field` {
        private fun prompt(
            rest: String,
            model: String = "\"m\"",
        ) = problemPath("""{"model":$model,"prompt":"x"$rest}""", CompletionKind.TEXT)

        @Test
        fun `for numbers that don't fit`() =
            listOf("1e999", "9".repeat(100_000), "-1", "0.5").forEach { assertEquals("$.max_tokens", prompt(""","max_tokens":$it""")) }

        @Test
        fun `for values of other types`() {
            assertEquals("$.model", prompt("", model = "7"))
            assertEquals("$.stream", prompt(""","stream":{}"""))
            assertEquals("$.prompt", problemPath("""{"model":"m","prompt":{}}""", CompletionKind.TEXT))
        }

        @Test
        fun `or as a whole when it is no JSON`() =
            listOf("", "[", "{\"model\":", ByteArray(8) { -1 }.decodeToString()).forEach { assertEquals("$", problemPath(it)) }
    }

    @Test
    fun `a prompt of a megabyte is read`() =
        assertEquals(null, problemPath("""{"model":"m","prompt":"${"x".repeat(1 shl 20)}"}""", CompletionKind.TEXT))
}
