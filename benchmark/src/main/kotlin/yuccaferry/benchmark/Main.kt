/*
 * Entry point of `yuccaferry-benchmark`: measures placement decisions with JMH and prints the time and the
 * allocated bytes of one decision.
 */
package yuccaferry.benchmark

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.openjdk.jmh.profile.GCProfiler
import org.openjdk.jmh.results.RunResult
import org.openjdk.jmh.results.format.ResultFormatType
import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.OptionsBuilder
import org.openjdk.jmh.runner.options.VerboseMode

private const val ALLOCATION_METRIC = "gc.alloc.rate.norm"

/** Runs the benchmarks whose names match and prints a table. */
fun main(args: Array<String>) {
    val parser = ArgParser("yuccaferry-benchmark")
    val include by parser.option(ArgType.String, "include", description = "Pattern of benchmark names").default(".*")
    val json by parser.option(ArgType.String, "json", description = "Write JMH's result to this file")
    parser.parse(args)
    val options =
        OptionsBuilder()
            .include(include)
            .addProfiler(GCProfiler::class.java)
            .verbosity(VerboseMode.SILENT)
    json?.let { options.result(it).resultFormat(ResultFormatType.JSON) }
    val results = Runner(options.build()).run()
    println("%-46s %12s %12s".format("benchmark", "us/decision", "bytes"))
    results.forEach { println(rowOf(it)) }
}

private fun rowOf(result: RunResult): String {
    val parameters = result.params
    val name = parameters.paramsKeys.joinToString(" ") { "$it=${parameters.getParam(it)}" }
    val bytes = result.secondaryResults[ALLOCATION_METRIC]?.score ?: Double.NaN
    return "%-46s %12.3f %12.0f".format(name, result.primaryResult.score, bytes)
}
