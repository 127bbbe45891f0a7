package yuccaferry.http.callers

import com.github.michaelbull.result.Ok
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Header
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.ServiceAnswer
import yuccaferry.daemon.request.Admission
import yuccaferry.daemon.request.Gangs
import yuccaferry.daemon.request.GenerationService
import yuccaferry.daemon.request.PlainCall
import yuccaferry.daemon.request.sha256Hex
import yuccaferry.model.AccountEntry
import yuccaferry.model.AccountName
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.OperatorFile
import yuccaferry.model.PlainServiceEntry
import yuccaferry.model.RegionName
import yuccaferry.model.ServiceName
import yuccaferry.model.ZoneEntry
import yuccaferry.model.ZoneName
import java.lang.reflect.Proxy
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertEquals

private const val KEY = "key"
private const val DEADLINE_SECONDS = 30

class PlainCallExchangeTest {
    private val desk = ServiceName("desk")
    private val account =
        AccountEntry(AccountName("a"), keySha256 = listOf(sha256Hex(KEY)), serves = listOf(desk), deadlineSeconds = DEADLINE_SECONDS)
    private val file =
        OperatorFile(
            1,
            listOf(ZoneEntry(ZoneName("z"), RegionName("r"))),
            services = listOf(PlainServiceEntry(desk)),
            accounts = listOf(account),
        )
    private val configuration = { Configuration(ConfigurationVersion(1), file) }
    private val clock = Clock { MonotonicTime(1_000) }
    private val admission = Admission(configuration, clock)
    private val calls = mutableListOf<PlainCall>()
    private var headers = emptyList<Header>()
    private val api =
        CallersApi(admission, unusedGenerations(), {
            Ok(ServiceAnswer(201, headers, "receipt".toByteArray())).also { _ ->
                calls += it
            }
        }, configuration, clock)
    private val server = embeddedServer(Netty, host = "127.0.0.1", port = 0) { api.install(this) }
    private var port = 0

    @BeforeTest
    fun start() {
        server.start()
        port =
            runBlocking {
                server.engine
                    .resolvedConnectors()
                    .single()
                    .port
            }
    }

    @AfterTest
    fun stop() = server.stop(0, 0)

    private fun call(vararg headers: String): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(
                    URI("http://127.0.0.1:$port/services/desk/book"),
                ).POST(HttpRequest.BodyPublishers.ofString("x"))
        request.headers("Authorization", "Bearer $KEY", *headers)
        return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun unusedGenerations(): GenerationService {
        val id = DaemonId("d")
        val gangs = Gangs(id, unused(), unused(), clock, CoroutineScope(Dispatchers.Default))
        return GenerationService(
            id,
            unused(),
            unused(),
            gangs,
            unused(),
            admission,
            clock,
            NoTelemetry,
            CoroutineScope(Dispatchers.Default),
        )
    }

    private inline fun <reified T> unused(): T =
        Proxy.newProxyInstance(
            T::class.java.classLoader,
            arrayOf(T::class.java),
        ) { _, method, _ -> error("unexpected ${method.name}") } as T

    /** Guards against a call that ran and whose answer was lost for want of one valid header. */
    @Nested
    inner class `an answer of a service is delivered` {
        @Test
        fun `with a content type that is none`() {
            headers = listOf(Header("Content-Type", "garbage"))
            assertEquals("201 receipt", call().let { "${it.statusCode()} ${it.body()}" })
        }

        @Test
        fun `without a header that HTTP doesn't allow`() {
            headers = listOf(Header("X-Sound", "1"), Header("X-Bell", "a\u0007b"), Header("X Space", "1"))
            val answer = call()
            assertEquals("201 receipt", "${answer.statusCode()} ${answer.body()}")
            assertEquals("1", answer.headers().firstValue("X-Sound").orElse(null))
        }
    }

    /** Guards against a deadline that overflowed into the past. */
    @Test
    fun `the account's deadline stands before a later one of the caller`() {
        listOf("${Long.MAX_VALUE}", "99999999999999999999", "x").forEach { call("X-Deadline-Ms", it) }
        assertEquals(List(3) { 1_000L + DEADLINE_SECONDS * 1_000 }, calls.map { it.deadline.millis })
    }
}
