// The `compare` subcommand: prints the figures of several runs side by side.
package yuccaferry.load

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.vararg
import kotlinx.serialization.SerializationException
import java.io.IOException
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

@OptIn(ExperimentalCli::class)
internal class CompareCommand : Subcommand("compare", "Compare results with the first of them") {
    private val html by option(ArgType.String, "html", description = "Write a page with plots to this file")
    private val files by argument(ArgType.String, "results", "JSON results, the baseline first").vararg()

    override fun execute() {
        if (files.size < 2) fail("expected at least two results, found ${files.size}")
        val runs = files.map(::readResult)
        print(comparisonOf(runs.first(), runs.drop(1)))
        html?.let { Path(it).writeText(htmlReport(runs)) }
    }
}

private fun readResult(file: String): RunResult {
    val result =
        try {
            strictJson.decodeFromString<RunResult>(Path(file).readText())
        } catch (e: IOException) {
            fail("$file: can't be read: ${e.message}")
        } catch (e: SerializationException) {
            fail("$file: ${e.message?.lineSequence()?.first()}")
        }
    if (result.format != RESULT_FORMAT) fail("$file: format: expected $RESULT_FORMAT, found ${result.format}")
    return result
}
