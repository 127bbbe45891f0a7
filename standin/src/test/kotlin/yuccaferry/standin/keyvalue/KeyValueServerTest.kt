// The key-value stand-in over HTTP: the wire format and the faults.
package yuccaferry.standin.keyvalue

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import yuccaferry.standin.LoopbackClient
import yuccaferry.standin.loopback
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

private const val PUT_IF_ABSENT =
    """{"compare":[{"key":"YQ==","target":"MOD","mod_revision":"0"}],"success":[{"request_put":{"key":"YQ==","value":"Yg=="}}]}"""
private const val READ = """{"key":"YQ=="}"""

class KeyValueServerTest {
    private val server = KeyValueServer(loopback)
    private val client = LoopbackClient(runBlocking { server.start() })

    @AfterEach
    fun stop() {
        server.stop()
    }

    @Test
    fun `a swap and a read have the JSON form of the etcd gateway`(): Unit =
        runBlocking {
            assertEquals(
                """{"header":{"cluster_id":"1","revision":"2"},"succeeded":true,""" +
                    """"responses":[{"response_put":{"header":{"cluster_id":"1","revision":"2"}}}]}""",
                client.post("/v3/kv/txn", PUT_IF_ABSENT),
            )
            assertTrue(client.post("/v3/kv/range", READ).contains(""""mod_revision":"2","version":"1","value":"Yg==""""))
        }

    @Nested
    inner class `faults` {
        @Test
        fun `a write whose response is lost takes effect`(): Unit =
            runBlocking {
                client.setFaults("""{"lose_answers":1}""")
                assertNull(client.postOrNull("/v3/kv/txn", PUT_IF_ABSENT))
                assertTrue(client.post("/v3/kv/range", READ).contains(""""value":"Yg==""""))
            }

        @Test
        fun `an outage closes connections before calls take effect`(): Unit =
            runBlocking {
                client.setFaults("""{"outage":true}""")
                assertNull(client.postOrNull("/v3/kv/txn", PUT_IF_ABSENT))
                client.setFaults("{}")
                assertEquals("""{"header":{"cluster_id":"1","revision":"1"}}""", client.post("/v3/kv/range", READ))
                assertTrue(client.get("/standin/stats").contains(""""cut_off":1"""))
            }

        @Test
        fun `calls above the rate limit are rejected`(): Unit =
            runBlocking {
                client.setFaults("""{"reads_per_second":0}""")
                assertTrue(client.post("/v3/kv/range", READ).contains("too many requests"))
            }
    }
}
