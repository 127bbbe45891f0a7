package yuccaferry.decisions.configuration

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import yuccaferry.model.OperatorFile
import kotlin.test.Test
import kotlin.test.assertEquals

class FileDiffTest {
    private fun file(
        accounts: String,
        zones: String = """{"name":"a","region":"r"}""",
    ): OperatorFile = Json.decodeFromString("""{"format":1,"zones":[$zones],"accounts":[$accounts]}""")

    private fun account(
        name: String,
        rest: String = "",
    ) = """{"name":"$name","keySha256":[],"serves":[]$rest}"""

    private fun changes(
        from: OperatorFile,
        to: OperatorFile,
    ) = diff(from, to).map { "${it.path} ${it.from} ${it.to}" }

    @Nested
    inner class `two files` {
        @Test
        fun `with the same entries in another order or with explicit defaults do not differ`() {
            val one = file(account("x") + "," + account("y"))
            val other = file(account("y") + "," + account("x", ""","weight":1"""))
            assertEquals(emptyList(), diff(one, other))
        }

        @Test
        fun `differ at the path in the new file`() {
            val one = file(account("x") + "," + account("y"))
            val other = file(account("new") + "," + account("x") + "," + account("y", ""","weight":4,"zones":["a"]"""))
            assertEquals(listOf("$.accounts[2].zones [] [\"a\"]", "$.accounts[2].weight 1 4"), changes(one, other).drop(1))
            assertEquals("$.accounts[0]", diff(one, other).first().path)
        }

        @Test
        fun `differ at the path in the old file when an entry is removed`() {
            val one = file(account("x"), zones = """{"name":"a","region":"r"},{"name":"b","region":"r"}""")
            val other = file(account("x"), zones = """{"name":"b","region":"r"}""")
            assertEquals(listOf("$.zones[0] {\"name\":\"a\",\"region\":\"r\"} null"), changes(one, other))
        }
    }
}
