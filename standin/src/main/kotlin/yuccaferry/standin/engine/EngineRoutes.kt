// HTTP routes of the engine stand-in.
package yuccaferry.standin.engine

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.coroutines.channels.getOrElse
import kotlinx.coroutines.delay
import yuccaferry.standin.server.closeConnection
import yuccaferry.standin.server.receiveFaults
import yuccaferry.standin.server.receiveJson
import yuccaferry.standin.server.respondError
import yuccaferry.standin.server.respondJson

private val EVENT_STREAM = ContentType.parse("text/event-stream")

/** Reads the export [ImportRequest.handle] from another engine; null if it does not exist or the engine is unreachable. */
internal fun interface ExportSource {
    suspend fun fetch(request: ImportRequest): ExportBody?
}

/** Routes of the API of [engine] and of the test controls below `/standin`. */
internal fun Route.engineRoutes(
    engine: Engine,
    exports: ExportSource,
) {
    post("/v1/completions") { complete(call, engine, chat = false) }
    post("/v1/chat/completions") { complete(call, engine, chat = true) }
    post("/v1/requests/{id}/cancel") { call.respondJson(Cancelled(engine.cancel(call.parameters["id"].orEmpty()))) }
    get("/v1/requests") { call.respondJson(engine.requests()) }
    get("/v1/load") { call.respondJson(engine.report()) }
    get("/v1/cache-events") {
        call.respondJson(engine.cacheEvents(call.request.queryParameters["after"]?.toLongOrNull() ?: 0))
    }
    post("/v1/segments") { prefillSegment(call, engine) }
    delete("/v1/gangs/{id}") { call.respondJson(ReleasedSegments(engine.releaseGang(call.parameters["id"].orEmpty()))) }
    post("/v1/orders") {
        val request = call.receiveJson<OrderRequest>() ?: return@post
        respondResult(call, engine.order(request))
    }
    exportRoutes(engine, exports)
    get("/standin/stats") { call.respondJson(engine.stats()) }
    put("/standin/faults") { call.receiveFaults<EngineFaults> { engine.setFaults(it) } }
}

private fun Route.exportRoutes(
    engine: Engine,
    exports: ExportSource,
) {
    post("/v1/kv/export") {
        val request = call.receiveJson<ExportRequest>() ?: return@post
        respondResult(call, engine.export(request))
    }
    post("/v1/kv/import") {
        val request = call.receiveJson<ImportRequest>() ?: return@post
        val body = exports.fetch(request)
        if (body == null) {
            call.respondError(400, "invalid_request", "${request.from} has no export ${request.handle}")
        } else {
            call.respondJson(TokenCount(engine.import(body)))
        }
    }
    get("/v1/kv/{handle}") {
        val body = engine.exported(call.parameters["handle"].orEmpty())
        if (body == null) call.respondError(404, "unknown_export", "no such export") else call.respondJson(body)
    }
    delete("/v1/kv/{handle}") { call.respondJson(ReleasedExport(engine.releaseExport(call.parameters["handle"].orEmpty()))) }
}

private suspend fun complete(
    call: ApplicationCall,
    engine: Engine,
    chat: Boolean,
) {
    val request = call.receiveJson<CompletionRequest>() ?: return
    val faults = engine.takeFaults()
    engine.submit(request, stalled = faults.hang).fold(
        success = { job -> streamAnswer(call, engine, request.model, chat, job, faults) },
        failure = { call.respondError(it.status, it.code, it.message) },
    )
}

private suspend fun streamAnswer(
    call: ApplicationCall,
    engine: Engine,
    model: String,
    chat: Boolean,
    job: Job,
    faults: EngineFaults,
) {
    if (faults.hang) {
        job.output.receiveCatching()
        return call.closeConnection()
    }
    delay(faults.lateMs)
    call.response.header("X-Incarnation", engine.requests().incarnation)
    try {
        call.respondBytesWriter(EVENT_STREAM) {
            flush()
            val end = AnswerStream(this, model, chat, job, faults).copy()
            if (end == StreamEnd.BROKEN) call.closeConnection()
        }
    } finally {
        job.output.cancel()
    }
}

private suspend fun prefillSegment(
    call: ApplicationCall,
    engine: Engine,
) {
    val request = call.receiveJson<SegmentRequest>() ?: return
    val accepted = engine.submit(request)
    accepted.fold(
        success = { job ->
            when (val output = job.output.receiveCatching().getOrElse { Output.Crashed }) {
                is Output.Prefilled -> call.respondJson(TokenCount(output.tokens))
                is Output.Ended -> call.respondError(410, output.code, output.message)
                else -> call.closeConnection()
            }
        },
        failure = { call.respondError(it.status, it.code, it.message) },
    )
}

private suspend inline fun <reified T> respondResult(
    call: ApplicationCall,
    result: Result<T, Rejection>,
) {
    result.fold(
        success = { call.respondJson(it) },
        failure = { call.respondError(it.status, it.code, it.message) },
    )
}
