// Tests the stand-in processes without daemons: they start, serve, apply faults and end.
package yuccaferry.integration

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import yuccaferry.model.Address
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import yuccaferry.standin.engine.PieceText
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private const val READ_KEY = """{"key":"YQ=="}"""

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StandInSmokeTest {
    private val engine = EngineStandIn("engine-1", "--decode-tokens-per-second", "500")
    private val service = ServiceStandIn("desk-1")
    private val keyValue = KeyValueStandIn()
    private val instances = InstancesStandIn()
    private val proxy = ProxyStandIn("proxy-1", engine.address)

    @AfterAll
    fun stop() = listOf(engine, service, keyValue, instances, proxy).forEach { it.close() }

    @Test
    fun `an engine behind a proxy answers until the proxy is cut`() {
        val body = """{"model":"m","prompt":"p","max_tokens":3,"request_id":"r"}"""
        val answer = HttpCalls.post(proxy.address, "/v1/completions", body).body()
        (0 until 3).forEach { assertContains(answer, """"text":"${PieceText.answer("m", "p", it + 1, first = it)}"""") }
        assertEquals(
            listOf("finished"),
            engine
                .stats()
                .requests
                .getValue("r")
                .endings,
        )
        proxy.setFaults("""{"cut":true}""")
        assertFailsWith<IOException> { HttpCalls.post(proxy.address, "/v1/completions", body) }
        assertEquals(1, engine.stats().accepted)
    }

    @Test
    fun `a plain service counts a call whose answer is cut`() {
        service.setFaults("""{"cut_answer":true,"times":1}""")
        assertFailsWith<IOException> { HttpCalls.post(service.address, "/bookings", "", mapOf("Idempotency-Key" to "k")) }
        assertEquals(1, service.runs("k"))
    }

    @Test
    fun `a key-value service that is out serves again after its faults are removed`() {
        keyValue.setFaults("""{"outage":true}""")
        assertFailsWith<IOException> { HttpCalls.post(keyValue.address, "/v3/kv/range", READ_KEY) }
        keyValue.clearFaults()
        assertEquals(200, HttpCalls.post(keyValue.address, "/v3/kv/range", READ_KEY).statusCode())
        assertEquals(1, keyValue.stats().cutOff)
    }

    @Test
    fun `the list of instances can be replaced`() {
        val target = Target(TargetId("t"), TargetKind.ENGINE, ServiceName("m"), ZoneName("z"), Address(engine.address))
        instances.replace(listOf(target))
        assertContains(HttpCalls.get(instances.address, "/v1/instances").body(), """"id":"t","kind":"engine","serves":"m"""")
    }

    @Test
    fun `a stopped process answers nothing until it continues`() {
        val paused = ServiceStandIn("paused")
        paused.use {
            paused.address
            paused.process.signal(Signal.STOP)
            val call =
                HttpCalls.client.sendAsync(
                    HttpCalls.request(paused.address, "/").build(),
                    java.net.http.HttpResponse.BodyHandlers
                        .ofString(),
                )
            assertTrue(paused.process.alive && !call.isDone)
            paused.process.signal(Signal.CONT)
            assertEquals(200, call.get().statusCode())
            paused.process.signal(Signal.TERM)
            paused.process.awaitEnd()
        }
    }
}
