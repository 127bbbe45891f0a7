// Commands that check an operators' file without applying it.
package yuccaferry.ctl

import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import yuccaferry.model.admin.FileDiff
import yuccaferry.model.readOperatorFile

/** Result of `validate`. */
@Serializable
internal data class ValidationReport(
    val valid: Boolean,
)

@OptIn(ExperimentalCli::class)
internal class DiffCommand : CtlCommand("diff", "Show what applying a file would change") {
    private val file by argument(ArgType.String, "FILE", "Operators' file")

    override suspend fun run(session: Session): ExitCode {
        val text = session.readText(file)
        readOperatorFile(text).getOrElse { session.failInvalid(file, it) }
        val diff = session.client.post<FileDiff>("/v1/configuration/diff", text).orFail(session, file)
        val lines = diff.changes.joinToString("\n") { describe(it) }
        session.print(diff, "against version ${diff.base}:\n" + lines.ifEmpty { "no change" })
        return ExitCode.OK
    }
}

@OptIn(ExperimentalCli::class)
internal class ValidateCommand : CtlCommand("validate", "Check a file without applying it") {
    private val file by argument(ArgType.String, "FILE", "Operators' file")
    private val remote by flag("remote", "Have a daemon check it too").default(false)

    override suspend fun run(session: Session): ExitCode {
        val text = session.readText(file)
        readOperatorFile(text).getOrElse { session.failInvalid(file, it) }
        if (remote) session.client.post<JsonElement>("/v1/configuration/validate", text).orFail(session, file)
        session.print(ValidationReport(valid = true), "$file is valid")
        return ExitCode.OK
    }
}
