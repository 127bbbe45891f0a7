// Reads experiment files and reports every invalid value with its path.
package yuccaferry.load

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

private const val MAX_PROMPT_TOKENS = 1_000_000

/** Describes why an experiment can't be used. */
data class LoadError(
    val message: String,
)

/** Strict JSON: unknown fields are errors. */
internal val strictJson =
    Json {
        prettyPrint = true
        classDiscriminator = "kind"
    }

/** Reads and checks the experiment at [path]. */
internal fun readExperiment(path: Path): Result<Experiment, LoadError> {
    val experiment =
        try {
            strictJson.decodeFromString<Experiment>(path.readText())
        } catch (e: IOException) {
            return Err(LoadError("$path: can't be read: ${e.message}"))
        } catch (e: SerializationException) {
            return Err(LoadError("$path: ${e.message?.lineSequence()?.first()}"))
        }
    val problems = problemsOf(experiment)
    return if (problems.isEmpty()) Ok(experiment) else Err(LoadError(problems.joinToString("\n") { "$path: $it" }))
}

/** Returns the invalid values of [experiment], each with its path. */
internal fun problemsOf(experiment: Experiment): List<String> =
    buildList {
        fun check(
            valid: Boolean,
            path: String,
            expected: String,
        ) {
            if (!valid) add("$path: expected $expected")
        }
        check(experiment.format == EXPERIMENT_FORMAT, "format", "$EXPERIMENT_FORMAT, found ${experiment.format}")
        check(experiment.durationSeconds in 1..3_600, "durationSeconds", "1 to 3600")
        check(experiment.warmUpSeconds in 0 until experiment.durationSeconds, "warmUpSeconds", "less than durationSeconds")
        check(experiment.drainSeconds in 0..600, "drainSeconds", "0 to 600")
        check(experiment.requestsPerSecond > 0, "requestsPerSecond", "a rate above 0")
        check(experiment.accounts.isNotEmpty(), "accounts", "at least one account")
        check(experiment.lengths.sumOf { it.share } > 0, "lengths", "at least one band with a share above 0")
        check(experiment.answerTokens.min in 1..experiment.answerTokens.max, "answerTokens", "1 <= min <= max")
        check(experiment.bookingShare + experiment.lookupShare <= 1, "bookingShare", "shares that sum to at most 1")
        check(
            experiment.service != null || experiment.bookingShare + experiment.lookupShare == 0.0,
            "service",
            "a name, as there are bookings or lookups",
        )
        check(experiment.threads.share in 0.0..1.0 && experiment.threads.perAccount > 0, "threads", "a share from 0 to 1 and threads")
        experiment.lengths.forEachIndexed { index, band ->
            check(band.minTokens in 1..band.maxTokens, "lengths[$index]", "1 <= minTokens <= maxTokens")
            check(band.maxTokens <= MAX_PROMPT_TOKENS, "lengths[$index].maxTokens", "at most $MAX_PROMPT_TOKENS")
        }
        experiment.events.forEachIndexed { index, event ->
            check(
                event.atSeconds >= 0 && event.atSeconds <= experiment.durationSeconds,
                "events[$index].atSeconds",
                "a time within the run",
            )
        }
    }
