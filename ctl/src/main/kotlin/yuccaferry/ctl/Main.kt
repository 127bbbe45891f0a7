// Entry point of `yuccaferryctl`, the operators' command line.
package yuccaferry.ctl

import kotlinx.coroutines.runBlocking
import java.io.PrintStream
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    exitProcess(runCtl(args, System.getenv(), System.out, System.err).code)
}

/** Runs one command. Results, help and JSON errors are printed on [out], all else on [err]. */
internal fun runCtl(
    args: Array<String>,
    environment: Map<String, String>,
    out: PrintStream,
    err: PrintStream,
): ExitCode {
    val command =
        try {
            parse(args, commands())
        } catch (e: ParserExit) {
            (if (e.failed) err else out).println(e.text)
            return if (e.failed) ExitCode.USAGE else ExitCode.OK
        }
    val session = Session(command, environment, out, err)
    return try {
        runBlocking { command.run(session) }
    } catch (e: CtlException) {
        session.printFailure(e)
        e.exit
    }
}

private fun commands(): List<CtlCommand> {
    val commands =
        listOf(
            ApplyCommand(),
            DiffCommand(),
            ValidateCommand(),
            StatusCommand(),
            FleetCommand(),
            ZoneCommand(),
            DrainCommand(),
            ExplainCommand(),
            TraceCommand(),
        )
    return commands + CompletionCommand(commands)
}
