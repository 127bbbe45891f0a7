/*
 * The callers' API: completions and chat completions of the OpenAI API, streamed or not, and plain services
 * below /services/NAME. Every response has the header X-Request-Id; every refusal is JSON with a stable code.
 */
package yuccaferry.http.callers

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.header
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.request.Admission
import yuccaferry.daemon.request.Admitted
import yuccaferry.daemon.request.GenerationRequest
import yuccaferry.daemon.request.GenerationService
import yuccaferry.daemon.request.PlainCalls
import yuccaferry.model.AccountEntry
import yuccaferry.model.Configuration
import yuccaferry.model.Execution
import yuccaferry.model.MonotonicTime
import yuccaferry.model.Refusal
import yuccaferry.model.RefusalCode
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import java.util.UUID

private const val BEARER = "Bearer "
internal const val REQUEST_ID_HEADER = "X-Request-Id"
private const val DEADLINE_HEADER = "X-Deadline-Ms"

/** Default maximum size of a request body: a million tokens with room for JSON escapes. */
const val DEFAULT_BODY_LIMIT_BYTES = 16L * 1024 * 1024

/** Serves the callers' API from the daemon's use cases. */
class CallersApi(
    internal val admission: Admission,
    internal val generations: GenerationService,
    internal val plainCalls: PlainCalls,
    internal val configuration: () -> Configuration,
    internal val clock: Clock,
    internal val bodyLimitBytes: Long = DEFAULT_BODY_LIMIT_BYTES,
) {
    /** Installs the API's routes. */
    fun install(application: Application) {
        application.install(HttpRequestLifecycle) { cancelCallOnClose = true }
        application.routing {
            post("/v1/completions") { completion(CompletionKind.TEXT) }
            post("/v1/chat/completions") { completion(CompletionKind.CHAT) }
            get("/v1/models") { models() }
            route("/services/{service}/{path...}") { handle { PlainCallExchange(this@CallersApi, call).run() } }
        }
    }

    private suspend fun RoutingContext.models() {
        val id = call.newRequestId()
        authenticate(call, id)?.let { account -> call.respondText(modelList(account), ContentType.Application.Json) }
    }

    private suspend fun RoutingContext.completion(kind: CompletionKind) {
        val id = call.newRequestId()
        val account = authenticate(call, id) ?: return
        call
            .bodyUpTo(bodyLimitBytes)
            .onFailure { call.refuse(id, it) }
            .onSuccess { body ->
                readCompletionRequest(kind, body.decodeToString()).fold(
                    success = { complete(call, id, account, it) },
                    failure = { call.refuse(id, invalidRequest(it)) },
                )
            }
    }

    private suspend fun complete(
        call: ApplicationCall,
        id: RequestId,
        account: AccountEntry,
        body: CompletionRequest,
    ) {
        if (configuration().file.models.none { it.name == body.model }) {
            call.refuse(id, unknownNameRefusal(RefusalCode.UNKNOWN_MODEL, "model", body.model))
            return
        }
        withAdmission(call, id, account, body.model) { admitted ->
            val request =
                GenerationRequest(
                    id = id,
                    account = account,
                    model = body.model,
                    prompt = body.prompt,
                    promptText = body.promptText,
                    maxTokens = body.maxTokens,
                    deadline = deadline(call, admitted.deadline),
                    traceparent = call.request.header("traceparent"),
                )
            GenerationExchange(call, id, body).answer(generations.generate(request))
        }
    }

    internal suspend fun authenticate(
        call: ApplicationCall,
        id: RequestId,
    ): AccountEntry? {
        val header = call.request.header(HttpHeaders.Authorization)
        val key = header?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)
        return admission.authenticate(key).fold(
            success = { it },
            failure = {
                call.refuseWithoutLedgerCheck(id, it)
                null
            },
        )
    }

    internal suspend fun withAdmission(
        call: ApplicationCall,
        id: RequestId,
        account: AccountEntry,
        name: ServiceName,
        block: suspend (Admitted) -> Unit,
    ) {
        admission.enter(account, name).fold(
            success = {
                try {
                    block(it)
                } finally {
                    admission.leave(account.name)
                }
            },
            failure = { call.refuseWithoutLedgerCheck(id, it) },
        )
    }

    /** Returns [latest], the account's deadline, or an earlier one that the caller's header gives in milliseconds from now. */
    internal fun deadline(
        call: ApplicationCall,
        latest: MonotonicTime,
    ): MonotonicTime {
        val millis = call.request.header(DEADLINE_HEADER)?.toLongOrNull() ?: return latest
        val now = clock.now()
        return minOf(latest, now + millis.coerceIn(0, maxOf(latest - now, 0)))
    }

    private fun modelList(account: AccountEntry): String =
        buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                for (model in configuration().file.models.filter { it.name in account.serves }) {
                    addJsonObject {
                        put("id", model.name.value)
                        put("object", "model")
                        put("version", model.version.value)
                    }
                }
            }
        }.toString()
}

/** Generates the id of a request and sets it as a response header. */
internal fun ApplicationCall.newRequestId(): RequestId {
    val id = RequestId(UUID.randomUUID().toString())
    response.header(REQUEST_ID_HEADER, id.value)
    return id
}

internal fun unknownNameRefusal(
    code: RefusalCode,
    what: String,
    name: ServiceName,
) = Refusal(code, "no $what \"$name\" in the configuration", Execution.NOT_RUN, repeatable = false)
