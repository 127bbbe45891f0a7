package yuccaferry.model.json

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.junit.jupiter.api.Nested
import yuccaferry.model.Problem
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

class BoundedJsonTest {
    private fun nested(levels: Int) = "[".repeat(levels) + "]".repeat(levels)

    @Nested
    inner class `a document that is nested too deeply` {
        @Test
        fun `is refused with the field that holds it`() {
            val text = """{"a":[1],"messages":${nested(100_000)}}"""
            assertEquals(Problem("$.messages", "at most 64 levels of nesting", "more at offset 83"), depthProblem(text))
        }

        /** Guards against a stack that overflows while a deep document is decoded, which ended the task that read it. */
        @Test
        fun `is refused on a thread with a small stack`() =
            onSmallStack {
                assertFailsWith<SerializationException> { Json.decodeBounded<JsonElement>(nested(100_000)) }
                assertFailsWith<SerializationException> { Json.decodeBounded<JsonElement>("[{\"a\":".repeat(50_000)) }
            }

        @Test
        fun `is refused without a field outside of an object`() = assertEquals("$", depthProblem(nested(65))?.path)
    }

    @Nested
    inner class `a document of the greatest depth` {
        @Test
        fun `is decoded on a thread with a small stack`() =
            onSmallStack { assertEquals(nested(64), Json.decodeBounded<JsonElement>(nested(64)).toString()) }

        @Test
        fun `may have brackets in its strings`() = assertNull(depthProblem("""["${"[{".repeat(100)}\"\\","${"[".repeat(100)}"]"""))
    }

    @Nested
    inner class `only the exception of the format is thrown for` {
        private fun expectInvalid(text: String) {
            assertFailsWith<SerializationException>(text.take(20)) { Json.decodeBounded<Map<String, Int>>(text) }
        }

        @Test
        fun `texts that are no JSON`() = listOf("", " ", "\"", "\"\\", "{", "]]]]", "\u0000", "\uFFFD").forEach { expectInvalid(it) }

        @Test
        fun `numbers that don't fit`() = listOf("1e999", "9".repeat(100_000), "-0.5").forEach { expectInvalid("""{"a":$it}""") }

        @Test
        fun `a string of a megabyte`() = expectInvalid("""{"${"x".repeat(1 shl 20)}":[]}""")
    }
}
