/*
 * Entry point of `yuccaferry-load`: sends load to a running fleet as its callers would, measures what they see,
 * and compares runs.
 */
package yuccaferry.load

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Runs the subcommand that the first argument names. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("yuccaferry-load")
    parser.subcommands(RunCommand(), CompareCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
