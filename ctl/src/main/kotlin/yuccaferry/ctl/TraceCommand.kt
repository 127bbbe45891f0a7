// Gathers the log lines of one request from the logs of all daemons.
package yuccaferry.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.vararg
import kotlinx.serialization.Serializable
import java.io.File
import java.io.IOException

private val TIME_FIELD = Regex("""(?:^|\s)time=(\S+)""")

/** Result of `trace`: [lines] in order of time. */
@Serializable
internal data class TraceReport(
    val request: String,
    val lines: List<String>,
)

@OptIn(ExperimentalCli::class)
internal class TraceCommand : CtlCommand("trace", "Gather the log lines of a request, in order of time") {
    private val request by argument(ArgType.String, "ID", "Id of the request")
    private val files by argument(ArgType.String, "FILE", "Log file of a daemon").vararg()

    override suspend fun run(session: Session): ExitCode {
        val lines = files.flatMap { linesOf(request, it) }.sortedBy { TIME_FIELD.find(it)?.groupValues?.get(1) }
        session.print(TraceReport(request, lines), lines.joinToString("\n").ifEmpty { "no line names $request" })
        return if (lines.isEmpty()) ExitCode.FAILED else ExitCode.OK
    }
}

private fun linesOf(
    request: String,
    file: String,
): List<String> {
    val requestField = Regex("""(?:^|\s)request="?${Regex.escape(request)}"?(?:\s|$)""")
    return try {
        File(file).useLines { lines -> lines.filter { requestField.containsMatchIn(it) }.toList() }
    } catch (unreadable: IOException) {
        throw CtlException(ExitCode.USAGE, "$file: can't be read: ${unreadable.message}")
    }
}
