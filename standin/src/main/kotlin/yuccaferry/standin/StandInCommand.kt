// Base of the subcommands that run a server: the listen address, the `listening` line, and running until the process ends.
package yuccaferry.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import yuccaferry.standin.server.HostPort

/** Subcommand that runs one stand-in server. */
@OptIn(ExperimentalCli::class)
internal abstract class StandInCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val listen by option(ArgType.String, "listen", description = "HOST:PORT to listen on; port 0 picks a free one")
        .default("127.0.0.1:0")
    protected val standInName by option(ArgType.String, "name", description = "Name in the listening line and the log").default(name)

    /** Starts the stand-in on [listen] and returns the address that it accepts connections on. */
    protected abstract suspend fun start(listen: HostPort): HostPort

    override fun execute() {
        runBlocking {
            val address = start(HostPort.parse(listen))
            LogManager.getLogger().info("event=listening name={} address={}", standInName, address)
            println("listening name=$standInName address=$address")
            System.out.flush()
            awaitCancellation()
        }
    }
}
