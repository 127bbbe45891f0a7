/*
 * The admin API of a daemon, specified in docs/interfaces.md. It is served on a separate port. Health,
 * readiness and metrics need no authentication; all other calls need an operator's token.
 */
package yuccaferry.http.admin

import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import yuccaferry.daemon.admin.ConfigurationOperations
import yuccaferry.daemon.admin.DaemonOperations
import yuccaferry.decisions.configuration.ChangeAuthor
import yuccaferry.model.AttemptId
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ATTEMPT_HEADER
import yuccaferry.model.admin.AdminErrorCode
import yuccaferry.model.admin.ExplainRequest
import yuccaferry.model.json.readStrictJson
import yuccaferry.model.readOperatorFile
import java.util.UUID

private val PROMETHEUS = ContentType.parse("text/plain; version=0.0.4")
private val ATTEMPT_FORMAT = Regex("[A-Za-z0-9._-]{8,64}")

/**
 * Installs the admin API's routes.
 *
 * @param metrics returns all metrics in the Prometheus text format.
 */
fun Application.adminModule(
    configuration: ConfigurationOperations,
    daemon: DaemonOperations,
    operators: OperatorTokens,
    metrics: () -> String,
) {
    routing {
        get("/health") { call.respondText("{\"alive\":true}", ContentType.Application.Json) }
        get("/ready") {
            val readiness = daemon.readiness()
            call.answer(readiness, if (readiness.ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable)
        }
        get("/metrics") { call.respondText(metrics(), PROMETHEUS) }
        route("/v1") {
            configurationRoutes(configuration, operators)
            daemonRoutes(daemon, operators)
        }
        route("{...}") {
            handle(forOperators(operators) { fail(AdminErrorCode.NOT_FOUND, "no call of the admin API has this method and path") })
        }
    }
}

private fun Route.configurationRoutes(
    configuration: ConfigurationOperations,
    operators: OperatorTokens,
) {
    get("/configuration", forOperators(operators) { call.answer(configuration.current()) })
    post(
        "/configuration",
        forOperators(operators) { operator ->
            val author = ChangeAuthor(operator, call.attemptId())
            val changed = configuration.apply(call.operatorFile(), call.baseVersion(), author)
            call.answer(changed.getOrElse { throw AdminException(adminError(it)) })
        },
    )
    post(
        "/configuration/validate",
        forOperators(operators) {
            call.operatorFile()
            call.respondText("{\"valid\":true}", ContentType.Application.Json)
        },
    )
    post("/configuration/diff", forOperators(operators) { call.answer(configuration.diff(call.operatorFile())) })
    post("/zones/{name}/out", forOperators(operators) { call.setZone(configuration, it, out = true) })
    post("/zones/{name}/in", forOperators(operators) { call.setZone(configuration, it, out = false) })
    get("/fleet", forOperators(operators) { call.answer(configuration.fleet()) })
}

private fun Route.daemonRoutes(
    daemon: DaemonOperations,
    operators: OperatorTokens,
) {
    get("/status", forOperators(operators) { call.answer(daemon.status()) })
    post(
        "/drain",
        forOperators(operators) { operator ->
            daemon.drain(operator)
            call.respondText("{\"draining\":true}", ContentType.Application.Json, HttpStatusCode.Accepted)
        },
    )
    post(
        "/explain",
        forOperators(operators) {
            val request =
                readStrictJson<ExplainRequest>(call.bodyText()).getOrElse { problems ->
                    throw AdminException(
                        invalidFile(problems).copy(code = AdminErrorCode.INVALID_REQUEST, message = "the body is invalid"),
                    )
                }
            call.answer(daemon.explain(request))
        },
    )
}

private suspend fun ApplicationCall.setZone(
    configuration: ConfigurationOperations,
    operator: String,
    out: Boolean,
) {
    val zone = ZoneName(parameters["name"].orEmpty())
    val changed = configuration.setZone(zone, out, ChangeAuthor(operator, attemptId()))
    answer(changed.getOrElse { throw AdminException(adminError(it)) })
}

private suspend fun ApplicationCall.operatorFile(): OperatorFile =
    readOperatorFile(bodyText()).getOrElse { throw AdminException(invalidFile(it)) }

private fun ApplicationCall.baseVersion(): ConfigurationVersion {
    val text = request.queryParameters["base"] ?: fail(AdminErrorCode.INVALID_REQUEST, "the query parameter base is missing")
    val version = text.toLongOrNull() ?: fail(AdminErrorCode.INVALID_REQUEST, "the query parameter base is not a version: $text")
    return ConfigurationVersion(version)
}

private fun ApplicationCall.attemptId(): AttemptId {
    val text = request.headers[ATTEMPT_HEADER] ?: return AttemptId(UUID.randomUUID().toString())
    if (!ATTEMPT_FORMAT.matches(text)) fail(AdminErrorCode.INVALID_REQUEST, "$ATTEMPT_HEADER must match $ATTEMPT_FORMAT")
    return AttemptId(text)
}
