// The `run` subcommand: runs an experiment once and writes its table, JSON and HTML.
package yuccaferry.load

import com.github.michaelbull.result.fold
import io.ktor.client.HttpClient
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import yuccaferry.standin.engine.PieceText
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.system.exitProcess

/** Exit code when arguments or files can't be used. */
internal const val EXIT_USAGE = 2

/** Exit code when answers were wrong, or bookings were duplicated, lost or falsely reported as not run. */
internal const val EXIT_CHECK_FAILED = 3

/** How the text of answers is checked: against the engine stand-in's text, or only for a complete stream. */
private enum class AnswerCheck { STANDIN, WHOLE }

@OptIn(ExperimentalCli::class)
internal class RunCommand : Subcommand("run", "Run an experiment against running daemons") {
    private val file by argument(ArgType.String, "experiment", "Experiment file")
    private val daemons by option(ArgType.String, "target", description = "Base address of a daemon's callers' port; may be repeated")
        .required()
        .multiple()
    private val label by option(ArgType.String, "label", description = "Name of what is measured, for tables and plots").default("run")
    private val seedOption by option(ArgType.String, "seed", description = "Seed in place of the experiment's")
    private val without by option(ArgType.Choice<LengthClass>(), "without", description = "Length class that is left out").multiple()
    private val admin by option(ArgType.String, "admin", description = "Base address of a daemon's admin port, for zone events")
    private val tokenFile by option(ArgType.String, "token-file", description = "File with the operators' token")
    private val services by option(
        ArgType.String,
        "service-stand-in",
        description = "Base address of a plain service stand-in, for its counts",
    ).multiple()
    private val standIns by option(ArgType.String, "stand-in", description = "NAME=ADDRESS of a stand-in that faults are set on").multiple()
    private val check by option(ArgType.Choice<AnswerCheck>(), "check-answers", description = "Compare texts with the engine stand-in's")
        .default(AnswerCheck.STANDIN)
    private val readySeconds by option(ArgType.Int, "ready-within", description = "Wait this many seconds for the daemons to answer")
        .default(0)
    private val json by option(ArgType.String, "json", description = "Write the figures to this file")
    private val html by option(ArgType.String, "html", description = "Write a page with plots to this file")

    override fun execute() {
        val experiment = readExperiment(Path(file)).fold({ it }, { fail(it.message) })
        val seed = seedOption?.let { it.toLongOrNull() ?: fail("--seed: expected a whole number, found $it") } ?: experiment.seed
        System.err.println("experiment=${experiment.name} seed=$seed label=$label targets=${daemons.size}")
        val result = runBlocking(Dispatchers.Default) { loadClient().use { run(experiment, seed, it) } }
        print(tableOf(result))
        json?.let { writeResult(Path(it), result) }
        html?.let { Path(it).writeText(htmlReport(listOf(result))) }
        if (result.wrongAnswers > 0 || (result.bookings?.violations ?: 0) > 0) exitProcess(EXIT_CHECK_FAILED)
    }

    private suspend fun run(
        experiment: Experiment,
        seed: Long,
        client: HttpClient,
    ): RunResult {
        val eventExecutor =
            EventExecutor(client, ControlAddresses(admin, tokenFile?.let { Path(it).readText().trim() }, standInAddresses()))
        eventExecutor.missingOptions(experiment).forEach { fail("the experiment's events need $it") }
        if (readySeconds > 0) {
            val missing = awaitReady(experiment, seed, client, daemons, readySeconds)
            if (missing.isNotEmpty()) fail("not ready after $readySeconds s: ${missing.joinToString()}")
        }
        val plan = plan(experiment, seed).filter { it !is PlannedPrompt || it.lengthClass !in without }
        val run = Run(experiment, seed, plan, client, daemons, eventExecutor, expectedText(experiment.model)) { System.err.println(it) }
        val record = run.execute()
        val runCounts = if (services.isEmpty()) null else readRunCounts(client, services)
        return summarize(experiment, RunLabel(label, seed, without.toSet()), record, runCounts)
    }

    private fun standInAddresses(): Map<String, String> = standIns.associate { it.substringBefore('=') to it.substringAfter('=') }

    private fun expectedText(model: String): (String, Int) -> String? =
        { prompt, pieces -> if (check == AnswerCheck.STANDIN) PieceText.answer(model, prompt, pieces) else null }
}

/** Writes [result] to [path] as JSON. */
internal fun writeResult(
    path: Path,
    result: RunResult,
) = path.writeText(strictJson.encodeToString(RunResult.serializer(), result) + "\n")

/** Ends the program with [message]. */
internal fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(EXIT_USAGE)
}
