// Adapter for model engines with the API that docs/interfaces.md specifies.
package yuccaferry.target

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import yuccaferry.daemon.port.EngineCall
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.EngineEvent
import yuccaferry.daemon.port.HeldItem
import yuccaferry.daemon.port.HeldKind
import yuccaferry.daemon.port.HeldWork
import yuccaferry.daemon.port.LoadReport
import yuccaferry.daemon.port.Prompt
import yuccaferry.daemon.port.SegmentCall
import yuccaferry.daemon.port.TargetError
import yuccaferry.daemon.port.TargetOrder
import yuccaferry.daemon.port.Usage
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.Incarnation
import yuccaferry.model.ModelVersion
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.Target

private const val CONTROL_TIMEOUT_MILLIS = 2_000L
private const val DATA_PREFIX = "data:"
private const val END_OF_STREAM = "[DONE]"
private const val INCARNATION_HEADER = "X-Incarnation"

/** Calls engines over HTTP with [client]. */
class HttpEngineClient(
    private val client: HttpClient,
) : EngineClient {
    override fun generate(
        target: Target,
        call: EngineCall,
    ): Flow<EngineEvent> =
        flow { stream(target, call) }
            .catch { e ->
                if (e is CancellationException || e !is Exception) throw e
                emit(EngineEvent.Failed(targetError(e)))
            }

    private suspend fun FlowCollector<EngineEvent>.stream(
        target: Target,
        call: EngineCall,
    ) {
        val path = if (call.prompt is Prompt.Text) "/v1/completions" else "/v1/chat/completions"
        val statement =
            client.prepareRequest {
                configure(target, HttpMethod.Post, path)
                call.traceparent?.let { header("traceparent", it) }
                setBody(targetJson.encodeToString(completionBody(call)))
            }
        statement.execute { response ->
            if (response.status.isSuccess()) relay(response) else emit(EngineEvent.Failed(rejection(response)))
        }
    }

    private suspend fun FlowCollector<EngineEvent>.relay(response: HttpResponse) {
        emit(EngineEvent.Accepted(Incarnation(response.headers[INCARNATION_HEADER].orEmpty())))
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readLine() ?: break
            if (!line.startsWith(DATA_PREFIX)) continue
            val data = line.removePrefix(DATA_PREFIX).trim()
            if (data == END_OF_STREAM) break
            val event = parseChunk(data)
            emit(event)
            if (event !is EngineEvent.Piece) return
        }
        emit(EngineEvent.Failed(TargetError.Broken("the answer ended before it was complete")))
    }

    override suspend fun cancel(
        target: Target,
        request: RequestId,
    ): Result<Unit, TargetError> = control(target, HttpMethod.Post, "/v1/requests/${request.value.encodeURLPathPart()}/cancel").map { }

    override suspend fun load(target: Target): Result<LoadReport, TargetError> =
        decoded(target, "/v1/load") { loadReport(targetJson.decodeFromString(it)) }

    override suspend fun held(target: Target): Result<HeldWork, TargetError> =
        decoded(target, "/v1/requests") { heldWork(targetJson.decodeFromString(it)) }

    override suspend fun prefillSegment(
        target: Target,
        call: SegmentCall,
    ): Result<Unit, TargetError> {
        val body = targetJson.encodeToString(segmentBody(call))
        return control(target, HttpMethod.Post, "/v1/segments", body, call.timeLeftMillis).map { }
    }

    override suspend fun releaseGang(
        target: Target,
        gang: String,
    ): Result<Unit, TargetError> = control(target, HttpMethod.Delete, "/v1/gangs/${gang.encodeURLPathPart()}").map { }

    override suspend fun releaseExport(
        target: Target,
        handle: String,
    ): Result<Unit, TargetError> = control(target, HttpMethod.Delete, "/v1/kv/${handle.encodeURLPathPart()}").map { }

    override suspend fun order(
        target: Target,
        order: TargetOrder,
    ): Result<Unit, TargetError> {
        val body = OrderBody(order.epoch.value, order.model.value, order.version.value, order.adapters)
        return control(target, HttpMethod.Post, "/v1/orders", targetJson.encodeToString(body)).map { }
    }

    private suspend fun <T> decoded(
        target: Target,
        path: String,
        decode: (String) -> T,
    ): Result<T, TargetError> = exchange(CONTROL_TIMEOUT_MILLIS) { request(target, HttpMethod.Get, path, null).map(decode) }

    private suspend fun control(
        target: Target,
        method: HttpMethod,
        path: String,
        body: String? = null,
        timeoutMillis: Long = CONTROL_TIMEOUT_MILLIS,
    ): Result<String, TargetError> = exchange(timeoutMillis) { request(target, method, path, body) }

    private suspend fun request(
        target: Target,
        method: HttpMethod,
        path: String,
        body: String?,
    ): Result<String, TargetError> {
        val response =
            client.request {
                configure(target, method, path)
                body?.let { setBody(it) }
            }
        return bodyOf(response)
    }
}

private fun HttpRequestBuilder.configure(
    target: Target,
    method: HttpMethod,
    path: String,
) {
    this.method = method
    url("http://${target.address}$path")
    contentType(ContentType.Application.Json)
}

private fun completionBody(call: EngineCall) =
    CompletionBody(
        model = call.model.value,
        prompt = (call.prompt as? Prompt.Text)?.text,
        messages = (call.prompt as? Prompt.Messages)?.let { targetJson.parseToJsonElement(it.json) },
        maxTokens = call.maxTokens,
        requestId = call.request.value,
        owner = call.owner.value,
        epoch = call.epoch.value,
        priority = call.priority,
        deadlineMillis = call.timeLeftMillis,
        firstPiece = call.firstPiece,
        deliveredText = call.deliveredText,
        gangId = call.gang,
        gangTokens = call.gangTokens,
    )

private fun segmentBody(call: SegmentCall) =
    SegmentBody(
        requestId = call.request.value,
        gangId = call.gang,
        index = call.index,
        owner = call.owner.value,
        epoch = call.epoch.value,
        text = call.text,
        priority = call.priority,
        deadlineMillis = call.timeLeftMillis,
    )

/** Parses one event of a streamed answer; malformed data and error events give [EngineEvent.Failed]. */
internal fun parseChunk(data: String): EngineEvent {
    val chunk =
        try {
            targetJson.decodeFromString<ChunkBody>(data)
        } catch (e: SerializationException) {
            return EngineEvent.Failed(TargetError.Broken("malformed piece: ${e.message}"))
        }
    chunk.error?.let { return EngineEvent.Failed(TargetError.Broken("the engine failed: ${it.code}: ${it.message}")) }
    val choice =
        chunk.choices.firstOrNull()
            ?: return EngineEvent.Failed(TargetError.Broken("malformed piece: expected an entry in choices, found none"))
    val reason = choice.finishReason
    if (reason == null) {
        return EngineEvent.Piece(RequestId(chunk.id), chunk.piece, choice.text ?: choice.delta?.content.orEmpty())
    }
    val usage = chunk.usage ?: UsageBody()
    return EngineEvent.Finished(
        request = RequestId(chunk.id),
        pieces = chunk.piece,
        reason = reason,
        usage = Usage(usage.promptTokens, usage.completionTokens, usage.cachedTokens),
    )
}

private fun loadReport(body: LoadBody) =
    LoadReport(
        incarnation = Incarnation(body.incarnation),
        warm = body.warm,
        model = ServiceName(body.model),
        version = ModelVersion(body.version),
        adapters = body.adapters,
        kvTokens = body.kvTokens,
        kvUsedTokens = body.kvUsedTokens,
        running = body.running,
        waiting = body.waiting,
        waitingPrefillTokens = body.waitingPrefillTokens,
        ageMillis = body.ageMillis,
    )

private fun heldWork(body: HeldBody) =
    HeldWork(
        incarnation = Incarnation(body.incarnation),
        warm = body.warm,
        items = body.items.map { heldItem(it) },
    )

private fun heldItem(body: HeldItemBody) =
    HeldItem(
        kind = HeldKind.entries.firstOrNull { it.name.equals(body.kind, ignoreCase = true) } ?: HeldKind.REQUEST,
        id = body.id,
        owner = DaemonId(body.owner),
        epoch = Epoch(body.epoch),
        tokens = body.tokens,
        prefillTokensLeft = body.prefillTokensLeft,
        timeLeftMillis = body.deadlineMillis,
    )
