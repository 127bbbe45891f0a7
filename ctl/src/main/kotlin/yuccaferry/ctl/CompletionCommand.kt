// Prints a script with which a shell completes commands and options.
@file:OptIn(ExperimentalCli::class)

package yuccaferry.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.json.JsonPrimitive

internal enum class Shell { BASH }

internal class CompletionCommand(
    private val others: List<CtlCommand>,
) : CtlCommand("completion", "Print a completion script, to be sourced by the shell") {
    private val shell by argument(ArgType.Choice<Shell>(), "SHELL", "Shell that is to complete")

    override suspend fun run(session: Session): ExitCode {
        val script =
            when (shell) {
                Shell.BASH -> bashScript(others + this)
            }
        session.printResult(JsonPrimitive(script), script)
        return ExitCode.OK
    }
}

private fun bashScript(commands: List<CtlCommand>): String {
    val cases = commands.joinToString("\n") { "    ${it.name}) words=\"${it.optionNames.joinToString(" ")}${argumentsOf(it)}\" ;;" }
    return """
        |_yuccaferryctl() {
        |  local word="${'$'}{COMP_WORDS[COMP_CWORD]}" previous="${'$'}{COMP_WORDS[COMP_CWORD-1]}" words=""
        |  if [ "${'$'}previous" = --output ]; then COMPREPLY=(${'$'}(compgen -W "text json" -- "${'$'}word")); return; fi
        |  if [ "${'$'}COMP_CWORD" -eq 1 ]; then words="${commands.joinToString(" ") { it.name }}"; fi
        |  case "${'$'}{COMP_WORDS[1]}" in
        |$cases
        |  esac
        |  if [[ "${'$'}word" == -* || "${'$'}COMP_CWORD" -eq 1 || "${'$'}{COMP_WORDS[1]}" == zone ]]; then
        |    COMPREPLY=(${'$'}(compgen -W "${'$'}words" -- "${'$'}word"))
        |  else
        |    COMPREPLY=(${'$'}(compgen -f -- "${'$'}word"))
        |  fi
        |}
        |complete -o filenames -F _yuccaferryctl yuccaferryctl
        """.trimMargin()
}

private fun argumentsOf(command: CtlCommand): String =
    when (command) {
        is ZoneCommand -> " out in"
        is CompletionCommand -> " bash"
        else -> ""
    }
