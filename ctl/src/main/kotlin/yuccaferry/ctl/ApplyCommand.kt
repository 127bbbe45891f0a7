// Commands that change the configuration: `apply` for a whole file, `zone` for one availability zone.
package yuccaferry.ctl

import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.readOperatorFile

private const val DEFAULT_TIMEOUT_SECONDS = 60

@OptIn(ExperimentalCli::class)
internal class ApplyCommand : CtlCommand("apply", "Replace the configuration by a file, as a whole") {
    private val file by argument(ArgType.String, "FILE", "Operators' file")
    private val base by number("base", "Version that the file was written against; default: the version read just before")
    private val wait by flag("wait", "Wait until the file is in force on every daemon").default(false)
    private val timeout by number("timeout", "Seconds to wait at most").default(DEFAULT_TIMEOUT_SECONDS)

    override suspend fun run(session: Session): ExitCode {
        val text = session.readText(file)
        readOperatorFile(text).getOrElse { session.failInvalid(file, it) }
        val version = base?.let { ConfigurationVersion(it.toLong()) } ?: readBase(session)
        val answer = session.change("/v1/configuration?base=$version", text).orFail(session, file)
        return session.finishChange(answer, timeout.takeIf { wait })
    }

    private suspend fun readBase(session: Session): ConfigurationVersion {
        val version =
            session.client
                .get<Configuration>("/v1/configuration")
                .orFail(session)
                .version
        session.printProgress("base is version $version, read now; give --base to name the version the file was written against")
        return version
    }
}

internal enum class Direction { OUT, IN }

@OptIn(ExperimentalCli::class)
internal class ZoneCommand : CtlCommand("zone", "Take an availability zone out of service, or back in") {
    private val direction by argument(ArgType.Choice<Direction>(), "DIRECTION", "out of service, or back in")
    private val zone by argument(ArgType.String, "ZONE", "Name of the availability zone")
    private val wait by flag("wait", "Wait until the change is in force on every daemon").default(false)
    private val timeout by number("timeout", "Seconds to wait at most").default(DEFAULT_TIMEOUT_SECONDS)

    override suspend fun run(session: Session): ExitCode {
        val answer = session.change("/v1/zones/${encodeSegment(zone)}/${direction.name.lowercase()}").orFail(session)
        return session.finishChange(answer, timeout.takeIf { wait })
    }
}
