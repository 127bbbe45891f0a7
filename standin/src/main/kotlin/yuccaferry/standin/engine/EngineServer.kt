// Runs an engine stand-in: its timers, its HTTP server, and the client that fetches exports from other engines.
package yuccaferry.standin.engine

import io.ktor.client.HttpClient
import io.ktor.client.call.body
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.http.isSuccess
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import yuccaferry.standin.server.HostPort
import yuccaferry.standin.server.StandInServer
import yuccaferry.standin.standInJson
import java.io.IOException
import kotlin.time.Duration.Companion.nanoseconds

private const val MIN_REPORT_INTERVAL_MS = 20L
private val log = LogManager.getLogger("engine")

/** One engine stand-in. It listens at [listen] once it is started. */
internal class EngineServer(
    settings: EngineSettings,
    listen: HostPort,
) : EngineListener {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val client by lazy { HttpClient(CIO) }
    val engine = Engine(settings, System::nanoTime, this)
    private val server =
        StandInServer(listen, engine::available) {
            routing { engineRoutes(this@EngineServer.engine, ::fetch) }
        }

    /** Starts the timers and the server; returns the address that it listens on. */
    suspend fun start(): HostPort {
        scope.launch { runEngine() }
        scope.launch { publishReports() }
        return server.start()
    }

    /** Stops the server and the timers. */
    fun stop() {
        scope.cancel()
        server.stop()
    }

    override fun workAdded() {
        wake.trySend(Unit)
    }

    override fun crashed() {
        log.info("event=crash name={}", engine.settings.name)
        server.dropConnections()
    }

    private suspend fun runEngine() {
        while (scope.isActive) {
            val wait = engine.advance()
            if (wait == null) wake.receive() else withTimeoutOrNull(wait.nanoseconds) { wake.receive() }
        }
    }

    private suspend fun publishReports() {
        val interval = maxOf(engine.settings.reportLagMs / 2, MIN_REPORT_INTERVAL_MS)
        while (scope.isActive) {
            delay(interval)
            engine.publish()
        }
    }

    private suspend fun fetch(request: ImportRequest): ExportBody? =
        try {
            val response = client.get("http://${request.from}/v1/kv/${request.handle}")
            if (response.status.isSuccess()) standInJson.decodeFromString<ExportBody>(response.body<String>()) else null
        } catch (e: IOException) {
            log.warn("event=import_failed from={} error=\"{}\"", request.from, e.message)
            null
        }
}
