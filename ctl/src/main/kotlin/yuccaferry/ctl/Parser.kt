/*
 * Parses arguments and reports usage errors as exceptions. By itself kotlinx-cli prints errors on
 * standard output and ends the process with exit code 127. The hook that replaces this is not public,
 * so it is set by reflection.
 */
package yuccaferry.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

private const val PROGRAM = "yuccaferryctl"
private const val EXIT_HOOK_SETTER = "setOutputAndTerminate\$kotlinx_cli"

/** Thrown where kotlinx-cli would print [text] and end the process; [failed] is false for a request for help. */
internal class ParserExit(
    val text: String,
    val failed: Boolean,
) : Exception(text)

@OptIn(ExperimentalCli::class)
internal fun parse(
    args: Array<String>,
    commands: List<CtlCommand>,
): CtlCommand {
    val parser = ArgParser(PROGRAM, strictSubcommandOptionsOrder = true)
    val exitHook = { text: String, code: Int -> throw ParserExit(text, failed = code != 0) }
    ArgParser::class.java.getMethod(EXIT_HOOK_SETTER, Function2::class.java).invoke(parser, exitHook)
    parser.subcommands(*commands.toTypedArray())
    if (args.isEmpty()) throw ParserExit(overview(commands), failed = true)
    if (args.first() == "-h" || args.first() == "--help") throw ParserExit(overview(commands), failed = false)
    parser.parse(args)
    return commands.firstOrNull { it.chosen } ?: throw ParserExit(overview(commands), failed = true)
}

@OptIn(ExperimentalCli::class)
private fun overview(commands: List<CtlCommand>): String {
    val width = commands.maxOf { it.name.length }
    val lines = commands.joinToString("\n") { "  ${it.name.padEnd(width)}  ${it.actionDescription}" }
    return "Usage: $PROGRAM COMMAND [arguments] [options]\n\nCommands:\n$lines\n\n" +
        "$PROGRAM COMMAND --help describes a command.\n\nExamples:\n" +
        "  $PROGRAM diff fleet.json --admin http://10.0.0.4:7002 --token-file token\n" +
        "  $PROGRAM apply fleet.json --wait\n" +
        "  $PROGRAM zone out attica-b --wait --timeout 30\n" +
        "  $PROGRAM status --output json\n\n" +
        "YUCCAFERRY_ADMIN (addresses separated by commas) and YUCCAFERRY_TOKEN_FILE stand in for --admin and --token-file."
}
