// Context of one command: the daemons' admin addresses, the operator's token, the environment and the output streams.
package yuccaferry.ctl

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import yuccaferry.model.Problem
import yuccaferry.model.admin.AdminError
import yuccaferry.model.admin.AdminErrorCode
import yuccaferry.model.admin.AdminJson
import yuccaferry.model.admin.ErrorAnswer
import java.io.File
import java.io.IOException
import java.io.PrintStream

private const val ADMIN_VARIABLE = "YUCCAFERRY_ADMIN"
private const val TOKEN_VARIABLE = "YUCCAFERRY_TOKEN_FILE"

/** Ends the command with code [exit] because of the error that [text] describes; [document] is printed instead if the output is JSON. */
internal class CtlException(
    val exit: ExitCode,
    val text: String,
    val document: JsonElement? = null,
) : Exception(text)

internal class Session(
    private val command: CtlCommand,
    private val environment: Map<String, String>,
    private val out: PrintStream,
    private val err: PrintStream,
) {
    /** Admin addresses in the order in which they are tried. */
    val addresses: List<String> by lazy {
        val configured =
            command.admin.ifEmpty {
                environment[ADMIN_VARIABLE]
                    .orEmpty()
                    .split(',')
                    .map { it.trim() }
                    .filter { it.isNotEmpty() }
            }
        if (configured.isEmpty()) throw CtlException(ExitCode.USAGE, "no daemon named: give --admin or set $ADMIN_VARIABLE")
        configured.map { if ("://" in it) it.trimEnd('/') else "http://$it" }
    }

    val client: AdminClient by lazy { AdminClient(addresses, token()) }

    /** Prints the result in the chosen format: [text], or [document] as JSON. */
    inline fun <reified T> print(
        document: T,
        text: String,
    ) = printResult(AdminJson.encodeToJsonElement(document), text)

    fun printResult(
        document: JsonElement,
        text: String,
    ) = out.println(if (command.output == OutputFormat.JSON) document else text)

    /** Prints a progress message on standard error, apart from the result. */
    fun printProgress(text: String) = err.println(text)

    fun readText(path: String): String =
        try {
            File(path).readText()
        } catch (e: IOException) {
            throw CtlException(ExitCode.USAGE, "$path can't be read: ${e.message}")
        }

    /** Ends the command because the file at [path] has [problems]. */
    fun failInvalid(
        path: String,
        problems: List<Problem>,
    ): Nothing {
        val text = problems.joinToString("\n") { "$path: ${it.path}: expected ${it.expected}, found ${it.found}" }
        val error = AdminError(AdminErrorCode.INVALID_FILE, "$path has ${problems.size} problem(s)", problems = problems)
        throw CtlException(ExitCode.INVALID_FILE, text, AdminJson.encodeToJsonElement(ErrorAnswer(error)))
    }

    /** Ends the command because a daemon answered [error]; [path] names the file that was sent, if one was. */
    fun fail(
        error: AdminError,
        path: String? = null,
    ): Nothing {
        if (path != null && error.code == AdminErrorCode.INVALID_FILE) failInvalid(path, error.problems)
        val changes = error.changes.map { "\n  " + describe(it) }.joinToString("")
        throw CtlException(exitCodeOf(error.code), error.message + changes, AdminJson.encodeToJsonElement(ErrorAnswer(error)))
    }

    fun printFailure(failure: CtlException) {
        if (command.output == OutputFormat.JSON && failure.document != null) out.println(failure.document) else err.println(failure.text)
    }

    private fun token(): String {
        val path = command.tokenFile ?: environment[TOKEN_VARIABLE]
        if (path.isNullOrEmpty()) throw CtlException(ExitCode.USAGE, "no operator's token: give --token-file or set $TOKEN_VARIABLE")
        return readText(path).trim()
    }
}
