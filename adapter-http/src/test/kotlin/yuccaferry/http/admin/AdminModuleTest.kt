package yuccaferry.http.admin

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.admin.ConfigurationOperations
import yuccaferry.daemon.admin.DaemonOperations
import yuccaferry.daemon.configuration.ChangeError
import yuccaferry.decisions.configuration.ChangeAuthor
import yuccaferry.decisions.configuration.ChangeRefusal
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.OperatorFile
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ChangeAnswer
import yuccaferry.model.admin.ChangeState
import yuccaferry.model.admin.DaemonStatus
import yuccaferry.model.admin.ExplainAnswer
import yuccaferry.model.admin.ExplainRequest
import yuccaferry.model.admin.FileChange
import yuccaferry.model.admin.FileDiff
import yuccaferry.model.admin.FleetAnswer
import yuccaferry.model.admin.Readiness
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** SHA-256 of `secret`. */
private const val SECRET_SHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
private const val FILE = """{"format":1,"zones":[{"name":"a","region":"r"}]}"""

class AdminModuleTest {
    private val operations = FakeOperations()
    private val server =
        embeddedServer(Netty, host = "127.0.0.1", port = 0) {
            adminModule(operations, operations, OperatorTokens(listOf(OperatorToken("kata", SECRET_SHA256)))) { "metric 1\n" }
        }
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
    fun stop() {
        server.stop(0, 0)
    }

    private fun call(
        method: String,
        path: String,
        body: String = "",
        token: String? = "secret",
        attempt: String? = null,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).method(method, HttpRequest.BodyPublishers.ofString(body))
        token?.let { request.header("Authorization", "Bearer $it") }
        attempt?.let { request.header("X-Attempt-Id", it) }
        return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    @Nested
    inner class `a caller without an operator's token` {
        @Test
        fun `may read health, readiness and metrics only`() {
            assertEquals(200, call("GET", "/health", token = null).statusCode())
            assertEquals(503, call("GET", "/ready", token = null).statusCode())
            assertEquals("metric 1\n", call("GET", "/metrics", token = null).body())
            assertEquals(401, call("GET", "/v1/status", token = null).statusCode())
            assertEquals(401, call("POST", "/v1/drain", token = "wrong").statusCode())
            assertEquals(0, operations.drains)
        }
    }

    @Nested
    inner class `an operator's change` {
        @Test
        fun `is made in the operator's name with the attempt id that was sent`() {
            operations.outcome = Ok(ChangeAnswer(ConfigurationVersion(4), ChangeState.PENDING))
            val answer = call("POST", "/v1/configuration?base=3", FILE, attempt = "attempt-1")
            assertEquals("""200 {"version":4,"state":"pending"}""", "${answer.statusCode()} ${answer.body()}")
            assertEquals("apply 3 kata attempt-1", operations.last)
        }

        @Test
        fun `of a zone names that zone`() {
            assertEquals(200, call("POST", "/v1/zones/a/out", attempt = "attempt-2").statusCode())
            assertEquals("zone a out=true kata attempt-2", operations.last)
        }

        @Test
        fun `that conflicts with another change is answered with the differences`() {
            val change = FileChange("$.accounts[0].weight", JsonPrimitive(2), JsonPrimitive(5))
            operations.outcome = Err(ChangeError.Refused(ChangeRefusal.Conflict(ConfigurationVersion(9), listOf(change))))
            val answer = call("POST", "/v1/configuration?base=3", FILE)
            assertEquals(409, answer.statusCode())
            assertContains(answer.body(), """"currentVersion":9,"changes":[{"path":"$.accounts[0].weight","from":2,"to":5}]""")
        }

        @Test
        fun `with an invalid file is refused with all problems and not applied`() {
            val answer = call("POST", "/v1/configuration?base=3", """{"format":1,"zones":[],"zone":1}""")
            assertEquals(422, answer.statusCode())
            assertContains(answer.body(), """{"path":"$.zone","expected":"a known field such as zones","found":"an unknown field"}""")
            assertEquals("", operations.last)
        }

        @Test
        fun `with a file that is nested too deeply is refused with the field`() {
            val zones = "[".repeat(100_000) + "]".repeat(100_000)
            val answer = call("POST", "/v1/configuration?base=3", """{"format":1,"zones":$zones}""")
            assertEquals(422, answer.statusCode())
            assertContains(answer.body(), """"path":"$.zones","expected":"at most 64 levels of nesting""")
            assertEquals("", operations.last)
        }

        /** Guards against operators' calls that end without a document: only exceptions were answered. */
        @Test
        fun `that ends in an error or a timeout of its own is answered as internal`() {
            operations.failure = { throw StackOverflowError() }
            assertContains(call("POST", "/v1/zones/a/in").body(), "\"code\":\"internal\"")
            operations.failure = { withTimeout(1) { awaitCancellation() } }
            assertContains(call("POST", "/v1/zones/a/in").body(), "\"code\":\"internal\"")
        }

        @Test
        fun `without a base version is refused`() {
            assertEquals(400, call("POST", "/v1/configuration", FILE).statusCode())
        }

        @Test
        fun `with an unknown outcome is answered with the code outcome_unknown`() {
            operations.outcome = Err(ChangeError.Uncertain("answer lost"))
            assertContains(call("POST", "/v1/zones/a/in").body(), "\"code\":\"outcome_unknown\"")
        }
    }
}

private class FakeOperations :
    ConfigurationOperations,
    DaemonOperations {
    var outcome: Result<ChangeAnswer, ChangeError> = Ok(ChangeAnswer(ConfigurationVersion(1), ChangeState.ACCEPTED))
    var failure: suspend () -> Unit = {}
    var last = ""
    var drains = 0

    override fun current() = Configuration.EMPTY

    override suspend fun apply(
        file: OperatorFile,
        base: ConfigurationVersion,
        author: ChangeAuthor,
    ) = outcome.also { last = "apply $base ${author.operator} ${author.attempt}" }

    override suspend fun setZone(
        zone: ZoneName,
        out: Boolean,
        author: ChangeAuthor,
    ) = outcome.also {
        failure()
        last = "zone $zone out=$out ${author.operator} ${author.attempt}"
    }

    override fun diff(file: OperatorFile) = FileDiff(ConfigurationVersion(1), emptyList())

    override suspend fun fleet() = FleetAnswer(ConfigurationVersion(1), emptyList())

    override fun readiness() = Readiness(ready = false, reasons = listOf("starting"))

    override fun status() =
        DaemonStatus(DaemonId("d"), RegionName("r"), ZoneName("a"), ConfigurationVersion(1), emptySet(), null, readiness())

    override fun drain(operator: String) {
        drains++
    }

    override suspend fun explain(request: ExplainRequest) = ExplainAnswer("none", listOf())
}
