// Command line of the engine stand-in.
package yuccaferry.standin.engine

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import yuccaferry.standin.StandInCommand
import yuccaferry.standin.server.HostPort

private enum class Fencing { ON, OFF }

/** The `engine` subcommand. */
@OptIn(ExperimentalCli::class)
internal class EngineCommand : StandInCommand("engine", "Model engine with simulated work") {
    private val defaults = EngineSettings()
    private val model by option(ArgType.String, "model", description = "Model that is loaded at the start").default(defaults.model)
    private val version by option(ArgType.String, "version", description = "Version of the model").default(defaults.version)
    private val kvTokens by option(ArgType.Int, "kv-tokens", description = "KV memory, tokens").default(defaults.kvTokens.toInt())
    private val coldRequests by option(ArgType.Int, "cold-requests", description = "Most concurrent requests while it is cold")
        .default(defaults.coldRequests)
    private val warmRequests by option(ArgType.Int, "warm-requests", description = "Most concurrent requests in the batch")
        .default(defaults.warmRequests)
    private val prefillRate by option(ArgType.Int, "prefill-tokens-per-second", description = "Prefill rate, tokens/s")
        .default(defaults.prefillTokensPerSecond.toInt())
    private val decodeRate by option(ArgType.Int, "decode-tokens-per-second", description = "Decode rate of each stream, tokens/s")
        .default(defaults.decodeTokensPerSecond.toInt())
    private val chunkTokens by option(ArgType.Int, "chunk-tokens", description = "Tokens of one prefill chunk")
        .default(defaults.chunkTokens.toInt())
    private val warmAfter by option(ArgType.Int, "warm-after-requests", description = "Successful requests until a cold engine is warm")
        .default(defaults.warmAfterRequests)
    private val reportLagMs by option(ArgType.Int, "report-lag-ms", description = "Age of load reports, ms")
        .default(defaults.reportLagMs.toInt())
    private val fencing by option(ArgType.Choice<Fencing>(), "fencing", description = "Whether old epochs are refused").default(Fencing.ON)
    private val startWarm by option(ArgType.Boolean, "start-warm", description = "Start warm").default(false)
    private val restartMs by option(ArgType.Int, "restart-ms", description = "Time from a crash to the restart, ms")
        .default(defaults.restartMs.toInt())

    override suspend fun start(listen: HostPort): HostPort {
        val settings =
            EngineSettings(
                name = standInName,
                model = model,
                version = version,
                kvTokens = kvTokens.toLong(),
                coldRequests = coldRequests,
                warmRequests = warmRequests,
                prefillTokensPerSecond = prefillRate.toLong(),
                decodeTokensPerSecond = decodeRate.toLong(),
                chunkTokens = chunkTokens.toLong(),
                warmAfterRequests = warmAfter,
                reportLagMs = reportLagMs.toLong(),
                fencing = fencing == Fencing.ON,
                startWarm = startWarm,
                restartMs = restartMs.toLong(),
            )
        return EngineServer(settings, listen).start()
    }
}
