/*
 * Entry point of the benchmark of a gateway's processor time: starts the gateway of the deploy file before the stand-ins of a large fleet
 * and prints, for the start and for the time after it, what each thread used and how often it woke up.
 */
package yuccaferry.benchmark.gateway

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import yuccaferry.gateway.net.EventLoop
import java.nio.file.Path
import kotlin.system.exitProcess

private const val START_MILLIS = 5_000L
private const val MILLIS_PER_SECOND = 1_000L
private const val SMALLEST_SHOWN_MILLIS = 1.0

fun main(args: Array<String>) {
    val parser = ArgParser("gateway-cost")
    val deployFile by parser.option(ArgType.String, "deploy", description = "Deploy file").default("deploy/system.toml")
    val seconds by parser.option(ArgType.Int, "seconds", description = "Seconds of load after the start").default(30)
    val parts by parser.option(ArgType.String, "load", description = "Parts of the load").default("checks,peers,requests")
    val options by parser.option(ArgType.String, "options", description = "Further options of the JVM").default("")
    val runs by parser.option(ArgType.Int, "runs", description = "Number of runs; the table shows the mean").default(1)
    parser.parse(args)
    val load = parts.split(',').filter { it.isNotEmpty() }.map { LoadPart.valueOf(it.uppercase()) }
    val loop = EventLoop()
    val fleet = FleetLoad(loop, FleetSize())
    val store = runBlocking(loop.scope.coroutineContext) { fleet.start() }
    val starts = mutableListOf<Map<String, Usage>>()
    val loads = mutableListOf<Map<String, Usage>>()
    repeat(runs) {
        GatewayProcess.start(Path.of(deployFile), "peer-000a", FleetLoad.ZONE, store, options.split(' ').filter { it.isNotEmpty() }).use {
            Thread.sleep(START_MILLIS)
            val before = it.usage()
            val job = fleet.apply(load, it.ports)
            Thread.sleep(seconds * MILLIS_PER_SECOND)
            job.cancel()
            starts += before
            loads += it.usage().mapValues { (thread, usage) -> usage - (before[thread] ?: Usage.NONE) }
        }
    }
    print("start, first ${START_MILLIS / MILLIS_PER_SECOND} s", starts)
    print("then $seconds s of $load", loads)
    exitProcess(0)
}

private fun print(
    title: String,
    runs: List<Map<String, Usage>>,
) {
    println("%-40s %10s %10s".format(title, "ms", "sleeps"))
    val names = runs.flatMap { it.keys }.toSet()
    val means = names.associateWith { name -> meanOf(runs.map { it[name] ?: Usage.NONE }) }
    means.entries.sortedByDescending { it.value.millis }.filter { it.value.millis >= SMALLEST_SHOWN_MILLIS }.forEach { (name, usage) ->
        println("  %-38s %10.1f %10d".format(name, usage.millis, usage.sleeps))
    }
    val total = means.values.fold(Usage.NONE, Usage::plus)
    println("  %-38s %10.1f %10d".format("all threads", total.millis, total.sleeps))
    val totals = runs.map { run -> run.values.sumOf { it.millis } }
    println("  runs: ${totals.joinToString { "%.0f".format(it) }}")
}

private fun meanOf(usages: List<Usage>): Usage {
    val sum = usages.fold(Usage.NONE, Usage::plus)
    return Usage(sum.millis / usages.size, sum.sleeps / usages.size)
}
