package yuccaferry.model.json

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Nested
import yuccaferry.model.OperatorFile
import yuccaferry.model.readOperatorFile
import kotlin.test.Test
import kotlin.test.assertEquals

class StrictJsonTest {
    @Serializable
    private sealed interface Shape {
        @Serializable
        @SerialName("circle")
        data class Circle(
            val radius: Double,
        ) : Shape
    }

    private fun problemsOf(text: String) = readStrictJson<OperatorFile>(text).getError().orEmpty().map { it.toString() }

    private inline fun <reified T> problems(text: String) = readStrictJson<T>(text).getError().orEmpty().map { it.toString() }

    @Nested
    inner class `a document with faults` {
        @Test
        fun `has all its unknown, missing and mistyped fields reported at once`() {
            assertEquals(
                listOf(
                    "expected an integer of up to 32 bits but found \"1\" at $.format",
                    "expected a string but found 7 at $.zones[0].name",
                    "expected a string but found no such field at $.zones[0].region",
                    "expected a known field such as accounts but found an unknown field at $.acounts",
                    "expected one of format, zones, models, services, accounts but found an unknown field at $.x",
                ),
                problemsOf("""{"format":"1","zones":[{"name":7}],"acounts":[],"x":null}"""),
            )
        }

        @Test
        fun `has the line and column of a syntax error reported`() {
            assertEquals(
                listOf("line 2, column 3"),
                readStrictJson<OperatorFile>("{\"format\":1\n  \"zones\":[]}").getError()?.map { it.path },
            )
        }

        @Test
        fun `is refused when a field is repeated`() {
            val problem = readStrictJson<OperatorFile>("""{"format":1,"format":1,"zones":[]}""").getError()?.single()
            assertEquals("a fault: Duplicate field 'format'", problem?.found)
        }

        @Test
        fun `is refused when text follows it`() {
            assertEquals(
                listOf("expected the end of the document but found more text at line 1, column 9"),
                problems<List<Int>>("[1,2,3] 4"),
            )
        }

        /** Guards against a stack that overflows on a deep file: the syntax check allows a thousand levels. */
        @Test
        fun `is refused when it is nested too deeply, also on a small stack`() =
            onSmallStack {
                val zones = "[".repeat(900) + "]".repeat(900)
                assertEquals(
                    listOf("expected at most 64 levels of nesting but found more at offset 83 at $.zones"),
                    problemsOf("""{"format":1,"zones":$zones}"""),
                )
            }

        @Test
        fun `is refused when it is empty`() {
            assertEquals(listOf("expected a JSON document but found nothing at line 1, column 1"), problems<List<Int>>(" "))
        }

        @Test
        fun `has the subtypes of a sealed type named in the problem`() {
            assertEquals(listOf("expected one of \"circle\" but found \"square\" at $.type"), problems<Shape>("""{"type":"square"}"""))
            assertEquals(listOf("expected a number but found no such field at $.radius"), problems<Shape>("""{"type":"circle"}"""))
        }

        @Test
        fun `has the key of a map entry in the path of its problem`() {
            assertEquals(listOf("expected true or false but found null at $[\"k\"]"), problems<Map<String, Boolean>>("""{"k":null}"""))
        }
    }

    @Nested
    inner class `a document without faults` {
        @Test
        fun `is read`() {
            assertEquals(Shape.Circle(2.5), readStrictJson<Shape>("""{"type":"circle","radius":2.5}""").get())
            assertEquals(listOf(1, null), readStrictJson<List<Int?>>("[1,null]").get())
            assertEquals(1, readOperatorFile("""{"format":1,"zones":[{"name":"a","region":"r"}]}""").get()?.zones?.size)
        }
    }
}
