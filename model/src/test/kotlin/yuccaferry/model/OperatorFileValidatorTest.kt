package yuccaferry.model

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class OperatorFileValidatorTest {
    private fun problemsOf(text: String) = validate(Json.decodeFromString<OperatorFile>(text)).map { it.toString() }

    @Nested
    inner class `a file that can be accepted` {
        @Test
        fun `has no problems`() {
            val problems =
                problemsOf(
                    """{"format":1,"zones":[{"name":"a","region":"r"}],
                    "models":[{"name":"m","version":"1"}],
                    "accounts":[{"name":"acc","keySha256":["${"0".repeat(64)}"],"serves":["m"],"zones":["a"]}]}""",
                )
            assertEquals(emptyList(), problems)
        }
    }

    @Nested
    inner class `a file with faults` {
        @Test
        fun `gets a problem that names the expected format`() {
            val problems = problemsOf("""{"format":2,"zones":[{"name":"a","region":"r"}]}""")
            assertEquals(listOf("expected 1 but found 2 at $.format"), problems)
        }

        @Test
        fun `gets a problem at the second zone with the same name`() {
            val problems = problemsOf("""{"format":1,"zones":[{"name":"a","region":"r"},{"name":"a","region":"s"}]}""")
            assertEquals(listOf("expected a name that $.zones[0] does not have but found \"a\" at $.zones[1].name"), problems)
        }

        @Test
        fun `has every problem reported at once`() {
            val problems =
                problemsOf(
                    """{"format":1,"zones":[{"name":"a","region":"r"}],
                    "accounts":[{"name":"acc","keySha256":["xy"],"serves":["m"],"zones":["b"]}]}""",
                )
            assertEquals(
                listOf(
                    "expected 64 lower-case hex digits but found \"xy\" at $.accounts[0].keySha256[0]",
                    "expected the name of a model or service in this file but found \"m\" at $.accounts[0].serves[0]",
                    "expected one of a but found \"b\" at $.accounts[0].zones[0]",
                ),
                problems,
            )
        }
    }
}
