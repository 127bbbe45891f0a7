// Checks the reading of the instance list, with unknown and malformed entries.
package yuccaferry.platform

import com.github.michaelbull.result.unwrap
import kotlinx.coroutines.runBlocking
import yuccaferry.model.Address
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.TargetState
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HttpInstanceListTest {
    private fun readFrom(address: Address) = HttpInstanceList(address, timeoutMillis = 5_000).use { runBlocking { it.read() } }

    private fun read(
        answer: String,
        status: Int = 200,
    ) = StubServer(answer, status).use { readFrom(it.address) }

    private fun instance(
        id: String,
        kind: String = "service",
        state: String = "live",
    ) = """{"id":"$id","kind":"$kind","serves":"desk-app","zone":"attica-a","address":"127.0.0.1:1","state":"$state","age":3}"""

    @Test
    fun `live and leaving instances are read`() {
        val targets = read("""{"instances":[${instance("a")},${instance("b", kind = "engine", state = "leaving")}]}""").unwrap()
        val a =
            Target(
                id = TargetId("a"),
                kind = TargetKind.SERVICE,
                serves = ServiceName("desk-app"),
                zone = ZoneName("attica-a"),
                address = Address("127.0.0.1:1"),
                state = TargetState.LIVE,
            )
        assertEquals(listOf(a, a.copy(id = TargetId("b"), kind = TargetKind.ENGINE, state = TargetState.LEAVING)), targets)
    }

    @Test
    fun `an instance in an unknown state counts as leaving`() {
        assertEquals(TargetState.LEAVING, read("""{"instances":[${instance("a", state = "paused")}]}""").unwrap().single().state)
    }

    @Test
    fun `instances of unknown kinds and malformed entries are left out`() {
        val answer = """{"instances":[${instance("a", kind = "cache")},7,{"id":"b"},${instance("c")}]}"""
        assertEquals(listOf(TargetId("c")), read(answer).unwrap().map { it.id })
    }

    /** Guards against a deep entry whose stack overflow ended the poll of the list, so that the view of targets stood still. */
    @Test
    fun `a list that is nested too deeply is an error`() {
        val deep = "[".repeat(100_000) + "]".repeat(100_000)
        assertTrue(read("""{"instances":[$deep,${instance("a")}]}""").isErr)
    }

    @Test
    fun `a list that can't be read is an error`() {
        assertTrue(read("{}").isErr)
        assertTrue(read("<html>").isErr)
        assertTrue(read("""{"instances":[]}""", status = 500).isErr)
        assertTrue(readFrom(closedAddress()).isErr)
    }
}
