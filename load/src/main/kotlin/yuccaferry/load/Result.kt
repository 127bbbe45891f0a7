// The figures of one run, as written to JSON and read back for comparisons.
package yuccaferry.load

import kotlinx.serialization.Serializable

/** The only supported format of results. */
const val RESULT_FORMAT = 1

/**
 * Distribution of a time, in milliseconds. In times to the first token, a failed request counts as if it took the run's
 * duration and drain time together, so that refused requests never improve a figure.
 */
@Serializable
data class Percentiles(
    val count: Long,
    val p50: Double,
    val p95: Double,
    val p99: Double,
    val max: Double,
)

/**
 * Prompts of one length class.
 *
 * @property firstToken time from the intended start to the first piece.
 * @property betweenTokens time between pieces, also of answers that failed and of the warm-up.
 * @property cachedShare part of the prompt tokens of complete answers that engines found in their caches.
 */
@Serializable
data class ClassResult(
    val lengthClass: LengthClass,
    val requests: Int,
    val complete: Int,
    val firstToken: Percentiles,
    val betweenTokens: Percentiles,
    val cachedShare: Double,
)

/** All requests of one account, and the first token times of its short prompts. */
@Serializable
data class AccountResult(
    val account: String,
    val requests: Int,
    val complete: Int,
    val shortFirstToken: Percentiles,
)

/** Figures of one phase, which lasts from the end of the warm-up or an event to the next event or the end of the run. */
@Serializable
data class PhaseResult(
    val name: String,
    val fromSeconds: Double,
    val toSeconds: Double,
    val requests: Int,
    val complete: Int,
    val completePerSecond: Double,
    val shortFirstToken: Percentiles,
)

/** Number of requests that ended with the error [code], and the message of one of them. */
@Serializable
data class ErrorCount(
    val code: String,
    val count: Int,
    val example: String,
)

/** Requests whose intended start is in one second of the run; [shortP95Millis] is null if none of them is a short prompt. */
@Serializable
data class TimelinePoint(
    val second: Int,
    val requests: Int,
    val complete: Int,
    val shortP95Millis: Double?,
)

/** First token times of short prompts that started while a long prompt waited for its first token, and of all other short prompts. */
@Serializable
data class BesideLong(
    val beside: Percentiles,
    val alone: Percentiles,
)

/**
 * Figures of one run. Wrong answers, the start lag, errors, bookings and the timeline include the warm-up; the other
 * counts and rates do not.
 *
 * @property label what was run, for example the policy.
 * @property without length classes that were left out of the plan.
 * @property promptTokensPerSecond prompt tokens of complete answers per second.
 * @property startLagMillis longest delay from the intended start of a request until it was sent.
 */
@Serializable
data class RunResult(
    val format: Int = RESULT_FORMAT,
    val experiment: String,
    val label: String,
    val seed: Long,
    val without: List<LengthClass>,
    val durationSeconds: Int,
    val warmUpSeconds: Int,
    val requests: Int,
    val complete: Int,
    val wrongAnswers: Int,
    val completePerSecond: Double,
    val promptTokensPerSecond: Double,
    val startLagMillis: Double,
    val classes: List<ClassResult>,
    val besideLong: BesideLong,
    val accounts: List<AccountResult>,
    val phases: List<PhaseResult>,
    val errors: List<ErrorCount>,
    val bookings: BookingResult? = null,
    val timeline: List<TimelinePoint>,
    val failedEvents: List<String> = emptyList(),
) {
    /** The figures of [lengthClass], null when no such prompt was sent. */
    fun of(lengthClass: LengthClass): ClassResult? = classes.find { it.lengthClass == lengthClass }
}
