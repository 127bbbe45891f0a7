/*
 * Training run for class data sharing, started with `--rehearse`: a daemon on loopback serves scripted requests with scripted answers.
 * The build records the classes that it loads, so that daemons start and serve their first requests without loading them one by one.
 */
package yuccaferry.gateway.app

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import yuccaferry.decisions.routing.CallerLimits
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.Header
import yuccaferry.gateway.net.HttpClientConnector
import yuccaferry.gateway.net.HttpResponsePart
import yuccaferry.gateway.net.HttpResponseWriter
import yuccaferry.gateway.net.HttpServer
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.net.OutgoingRequest
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64

/**
 * Script of a training run. In bodies, `@NAME@` is replaced by the Base64 text of the entry NAME of [encoded]; in these entries, `@PORT@`
 * is replaced by the port of the scripted server.
 *
 * @property answers answers of the scripted server; the first whose path is a prefix of the request's is sent.
 * @property requests requests that a caller sends in each round, in order.
 * @property rounds number of times that the requests are sent.
 */
@Serializable
internal class TrainingScript(
    val encoded: Map<String, String>,
    val answers: List<ScriptedAnswer>,
    val requests: List<ScriptedRequest>,
    val rounds: Int,
)

/** One answer; the headers named in [echoed] are copied from the request. */
@Serializable
internal class ScriptedAnswer(
    val path: String,
    val headers: Map<String, String> = emptyMap(),
    val echoed: List<String> = emptyList(),
    val body: String,
)

/** One request with the body `x`. */
@Serializable
internal class ScriptedRequest(
    val path: String,
    val headers: Map<String, String>,
)

/** Runs a daemon with a script. */
internal class TrainingRun(
    private val script: TrainingScript,
) {
    private val serverLoop = EventLoop()
    private val callerLoop = EventLoop()
    private var serverPort = 0

    /** Runs all rounds; returns the statuses of the last one, null for a request without an answer. */
    fun run(): List<Int?> {
        val server = HttpServer(serverLoop, { LIMITS }, ::answer)
        serverPort = runBlocking(serverLoop.scope.coroutineContext) { server.listen(loopback(0)).port }
        val ports = freePorts()
        val settings = Files.createTempFile("rehearsal", ".json")
        Files.writeString(settings, Json.encodeToString(GatewaySettings.serializer(), settings(ports)))
        run(SettingsFile(settings))
        Files.delete(settings)
        return runBlocking(callerLoop.scope.coroutineContext) {
            var statuses = emptyList<Int?>()
            repeat(script.rounds) {
                statuses = script.requests.map { sendRequest(loopback(ports.first()), it) }
                delay(ROUND_PAUSE_MILLIS)
            }
            statuses
        }
    }

    private suspend fun answer(
        request: IncomingRequest,
        reply: HttpResponseWriter,
    ) {
        val answer = script.answers.first { request.uri.startsWith(it.path) }
        val echoed = answer.echoed.mapNotNull { name -> request.headers[name]?.let { Header(name, it) } }
        reply.send(STATUS_OK, answer.headers.map { Header(it.key, it.value) } + echoed, fillPlaceholders(answer.body).toByteArray())
    }

    private fun fillPlaceholders(text: String): String =
        script.encoded.entries.fold(text) { filled, (name, value) ->
            filled.replace("@$name@", Base64.getEncoder().encodeToString(value.replace("@PORT@", "$serverPort").toByteArray()))
        }

    private suspend fun sendRequest(
        daemon: InetSocketAddress,
        request: ScriptedRequest,
    ): Int? {
        val connection = HttpClientConnector(callerLoop).connect(daemon, TIMEOUT_MILLIS) ?: return null
        val headers = DefaultHttpHeaders()
        request.headers.forEach { (name, value) -> headers.set(name, value) }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, 1)
        connection.send(OutgoingRequest("POST", request.path, headers, "x".toByteArray()))
        var status: Int? = null
        withTimeoutOrNull(TIMEOUT_MILLIS) {
            do {
                val part = connection.receive()
                if (part is HttpResponsePart.Head) status = part.status
            } while (part is HttpResponsePart.Head || part is HttpResponsePart.Piece)
        }
        connection.close()
        return status
    }

    private fun settings(ports: List<Int>) =
        GatewaySettings(
            settingsVersion = 1,
            name = "rehearsal",
            zone = "rehearsal",
            callers = "127.0.0.1:${ports[0]}",
            readiness = "127.0.0.1:${ports[1]}",
            metrics = "127.0.0.1:${ports[2]}",
            host = "127.0.0.1",
            internalPorts = listOf(ports.last()),
            store = "127.0.0.1:$serverPort",
            limits =
                GatewayLimits(
                    coldBurstFactor = 1.0,
                    coldTolerance = 1.0,
                    repeatRatio = 1.0,
                    repeatReserve = 1.0,
                    repeatWindowSeconds = 1.0,
                    graceSeconds = 1.0,
                ),
        )

    internal companion object {
        const val STATUS_OK = 200

        /** Milliseconds to establish a connection, and to receive an answer: far longer than either takes on a busy machine. */
        private const val TIMEOUT_MILLIS = 20_000L

        /** Milliseconds between rounds, in which the daemon reads the store. */
        private const val ROUND_PAUSE_MILLIS = 300L

        /** Number of ports that a daemon listens on. */
        private const val PORT_COUNT = 4

        private val LIMITS =
            CallerLimits(headerBytes = 16_384, bodyBytes = 65_536, headerTimeoutMillis = 20_000, idleTimeoutMillis = 20_000)

        /** Reads the script in [path]; throws `IOException` or `SerializationException` if it can't be read. */
        fun read(path: Path) = TrainingRun(Json.decodeFromString(TrainingScript.serializer(), Files.readString(path)))

        private fun loopback(port: Int) = InetSocketAddress(InetAddress.getByAddress(byteArrayOf(127, 0, 0, 1)), port)

        private fun freePorts(): List<Int> {
            val sockets = List(PORT_COUNT) { ServerSocket(0) }
            return sockets.map { it.localPort }.also { sockets.forEach { it.close() } }
        }
    }
}
