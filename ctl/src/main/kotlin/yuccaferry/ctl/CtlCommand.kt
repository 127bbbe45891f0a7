// Base class of all commands, with their common options: admin addresses, operator's token and output format.
@file:OptIn(ExperimentalCli::class)

package yuccaferry.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.SingleNullableOption
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple

internal enum class OutputFormat { TEXT, JSON }

/** One command; [run] is called after its arguments were parsed. */
internal abstract class CtlCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    /** Names of this command's options, for completion. */
    val optionNames = mutableListOf("--help")

    /** Whether the command line names this command. */
    var chosen = false
        private set

    val admin by text("admin", "Admin address of a daemon, such as http://10.0.0.4:7002; repeat it to name others to try").multiple()
    val tokenFile by text("token-file", "File with the operator's token")
    val output by addOption(ArgType.Choice<OutputFormat>(), "output", "Format of the output").default(OutputFormat.TEXT)

    override fun execute() {
        chosen = true
    }

    abstract suspend fun run(session: Session): ExitCode

    protected fun text(
        name: String,
        description: String,
    ) = addOption(ArgType.String, name, description)

    protected fun number(
        name: String,
        description: String,
    ) = addOption(ArgType.Int, name, description)

    protected fun flag(
        name: String,
        description: String,
    ) = addOption(ArgType.Boolean, name, description)

    private fun <T : Any> addOption(
        type: ArgType<T>,
        name: String,
        description: String,
    ): SingleNullableOption<T> {
        optionNames += "--$name"
        return option(type, fullName = name, description = description)
    }
}
