/*
 * Entry point of `yuccaferry-standin`, which has one subcommand for each external system that a stand-in replaces
 * in the demo, the tests and the benchmark, and for callers that send one request.
 */
package yuccaferry.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import yuccaferry.standin.caller.BookingCommand
import yuccaferry.standin.caller.PromptCommand
import yuccaferry.standin.engine.EngineCommand
import yuccaferry.standin.instances.InstancesCommand
import yuccaferry.standin.keyvalue.KeyValueCommand
import yuccaferry.standin.proxy.ProxyCommand
import yuccaferry.standin.service.ServiceCommand

/** Runs the subcommand that the first argument names. Servers run until the process is terminated. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    System.setProperty("log4j2.configurationFile", "log4j2-standin.xml")
    val parser = ArgParser("yuccaferry-standin")
    parser.subcommands(
        EngineCommand(),
        ServiceCommand(),
        KeyValueCommand(),
        InstancesCommand(),
        ProxyCommand(),
        PromptCommand(),
        BookingCommand(),
    )
    parser.parse(args)
}
