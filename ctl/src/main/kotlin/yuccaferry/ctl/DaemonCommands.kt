// Commands that show the state of daemons, drain one, or explain a placement.
package yuccaferry.ctl

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.json.JsonElement
import yuccaferry.model.AccountName
import yuccaferry.model.ServiceName
import yuccaferry.model.admin.AdminJson
import yuccaferry.model.admin.DaemonStatus
import yuccaferry.model.admin.ExplainAnswer
import yuccaferry.model.admin.ExplainRequest
import yuccaferry.model.admin.FleetAnswer

private const val DEFAULT_PROMPT_TOKENS = 1_000

@OptIn(ExperimentalCli::class)
internal class StatusCommand : CtlCommand("status", "Show the state of one daemon") {
    override suspend fun run(session: Session): ExitCode {
        val status = session.client.get<DaemonStatus>("/v1/status").orFail(session)
        session.print(status, describe(status))
        return ExitCode.OK
    }
}

@OptIn(ExperimentalCli::class)
internal class FleetCommand : CtlCommand("fleet", "Show the version in force on each daemon") {
    override suspend fun run(session: Session): ExitCode {
        val fleet = session.client.get<FleetAnswer>("/v1/fleet").orFail(session)
        session.print(fleet, describe(fleet))
        return ExitCode.OK
    }
}

@OptIn(ExperimentalCli::class)
internal class DrainCommand : CtlCommand("drain", "Have one daemon leave gracefully") {
    override suspend fun run(session: Session): ExitCode {
        if (session.addresses.size != 1) {
            throw CtlException(ExitCode.USAGE, "drain needs exactly one --admin, found ${session.addresses.joinToString()}")
        }
        val answer = session.client.post<JsonElement>("/v1/drain").orFail(session)
        session.printResult(answer, "${session.addresses.single()} is leaving; it finishes its requests first")
        return ExitCode.OK
    }
}

@OptIn(ExperimentalCli::class)
internal class ExplainCommand : CtlCommand("explain", "Show where a request would go, and why") {
    private val account by text("account", "Client account")
    private val model by text("model", "Model or plain service")
    private val tokens by number("tokens", "Length of the prompt in tokens").default(DEFAULT_PROMPT_TOKENS)

    override suspend fun run(session: Session): ExitCode {
        val account = account ?: throw CtlException(ExitCode.USAGE, "explain needs --account")
        val model = model ?: throw CtlException(ExitCode.USAGE, "explain needs --model")
        val request = ExplainRequest(AccountName(account), ServiceName(model), tokens.toLong())
        val answer = session.client.post<ExplainAnswer>("/v1/explain", AdminJson.encodeToString(request)).orFail(session)
        session.print(answer, describe(answer))
        return ExitCode.OK
    }
}
