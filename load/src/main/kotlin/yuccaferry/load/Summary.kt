// Computes the figures of a run from the outcomes of its requests.
package yuccaferry.load

import org.HdrHistogram.Histogram

private const val SIGNIFICANT_DIGITS = 3
private const val NANOS_PER_MICRO = 1_000L
private const val NANOS_PER_SECOND = 1e9
private const val MICROS_PER_MILLI = 1_000.0
private const val NANOS_PER_MILLI = 1e6
private const val EXAMPLE_LENGTH = 160

/** Label, seed and left-out length classes of a run, copied into its result. */
internal data class RunLabel(
    val label: String,
    val seed: Long,
    val without: Set<LengthClass>,
)

/** Figures of [record]; [runCounts] are the plain services' counts by key, null when they were not read. */
internal fun summarize(
    experiment: Experiment,
    label: RunLabel,
    record: RunRecord,
    runCounts: Map<String, Int>?,
): RunResult = Summary(experiment, label, record, runCounts).result()

private class Summary(
    private val experiment: Experiment,
    private val label: RunLabel,
    private val record: RunRecord,
    private val runCounts: Map<String, Int>?,
) {
    private val measured = record.outcomes.filter { it.request.startNanos >= experiment.warmUpSeconds * NANOS_PER_SECOND }
    private val seconds = (experiment.durationSeconds - experiment.warmUpSeconds).toDouble()
    private val short = measured.filter { it.prompt?.lengthClass == LengthClass.SHORT }

    fun result() =
        RunResult(
            experiment = experiment.name,
            label = label.label,
            seed = label.seed,
            without = label.without.sorted(),
            durationSeconds = experiment.durationSeconds,
            warmUpSeconds = experiment.warmUpSeconds,
            requests = measured.size,
            complete = measured.count { it.complete },
            wrongAnswers = record.outcomes.count { it.ending is Ending.Wrong },
            completePerSecond = measured.count { it.complete } / seconds,
            promptTokensPerSecond = measured.filter { it.complete }.sumOf { it.prompt?.tokens ?: 0 } / seconds,
            startLagMillis = (record.outcomes.maxOfOrNull { it.sentNanos - it.request.startNanos } ?: 0) / NANOS_PER_MILLI,
            classes = LengthClass.entries.mapNotNull(::classResult),
            besideLong = besideLong(),
            accounts = experiment.accounts.map(::accountResult),
            phases = phases(),
            errors = errors(),
            bookings = runCounts?.let { auditBookings(record.outcomes, it) },
            timeline = (0 until experiment.durationSeconds).map(::timelinePoint),
            failedEvents = record.events.filter { it.error != null }.map { "${it.event}: ${it.error}" },
        )

    private fun classResult(lengthClass: LengthClass): ClassResult? {
        val outcomes = measured.filter { it.prompt?.lengthClass == lengthClass }
        if (outcomes.isEmpty()) return null
        val complete = outcomes.filter { it.complete }
        val tokens = complete.sumOf { it.prompt?.tokens?.toLong() ?: 0 }
        return ClassResult(
            lengthClass = lengthClass,
            requests = outcomes.size,
            complete = complete.size,
            firstToken = firstToken(outcomes),
            betweenTokens = percentiles(record.gaps.of(lengthClass)),
            cachedShare = if (tokens == 0L) 0.0 else complete.sumOf { it.cachedTokens }.toDouble() / tokens,
        )
    }

    private fun besideLong(): BesideLong {
        val long = record.outcomes.filter { it.prompt?.lengthClass == LengthClass.LONG }
        val (beside, alone) =
            short.partition { outcome ->
                val start = outcome.request.startNanos
                long.any { start >= it.request.startNanos && start < (it.firstTokenNanos ?: it.endNanos) }
            }
        return BesideLong(firstToken(beside), firstToken(alone))
    }

    private fun accountResult(account: LoadAccount): AccountResult {
        val own = measured.filter { it.request.account == account }
        return AccountResult(account.name, own.size, own.count { it.complete }, firstToken(short.filter { it.request.account == account }))
    }

    private fun phases(): List<PhaseResult> {
        val starts = listOf(experiment.warmUpSeconds.toDouble()) + experiment.events.map { it.atSeconds }.sorted()
        val names = listOf("start") + experiment.events.sortedBy { it.atSeconds }.map(::phaseNameOf)
        val ends = starts.drop(1) + experiment.durationSeconds.toDouble()
        return names.indices
            .filter { starts[it] < ends[it] }
            .map { phase(names[it], starts[it], ends[it]) }
    }

    private fun phase(
        name: String,
        from: Double,
        to: Double,
    ): PhaseResult {
        val range = (from * NANOS_PER_SECOND).toLong() until (to * NANOS_PER_SECOND).toLong()
        val outcomes = measured.filter { it.request.startNanos in range }
        val complete = outcomes.count { it.complete }
        val shortFirst = firstToken(short.filter { it.request.startNanos in range })
        return PhaseResult(name, from, to, outcomes.size, complete, complete / (to - from), shortFirst)
    }

    private fun errors(): List<ErrorCount> =
        record.outcomes
            .mapNotNull { outcome ->
                when (val ending = outcome.ending) {
                    Ending.Complete -> null
                    is Ending.Failed -> ending
                    is Ending.Wrong -> Ending.Failed("wrong_answer", ending.message)
                }
            }.groupBy { it.code }
            .map { (code, failures) -> ErrorCount(code, failures.size, failures.first().message.take(EXAMPLE_LENGTH)) }
            .sortedByDescending { it.count }

    private fun timelinePoint(second: Int): TimelinePoint {
        val outcomes = record.outcomes.filter { (it.request.startNanos / NANOS_PER_SECOND).toInt() == second }
        val shorts = outcomes.filter { it.prompt?.lengthClass == LengthClass.SHORT }
        val p95 = if (shorts.isEmpty()) null else firstToken(shorts).p95
        return TimelinePoint(second, outcomes.size, outcomes.count { it.complete }, p95)
    }

    private fun firstToken(outcomes: List<Outcome>): Percentiles {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        val failedNanos = ((experiment.durationSeconds + experiment.drainSeconds) * NANOS_PER_SECOND).toLong()
        for (outcome in outcomes) {
            val first = outcome.firstTokenNanos ?: outcome.endNanos
            val time = if (outcome.complete) first - outcome.request.startNanos else failedNanos
            histogram.recordValue(time.coerceAtLeast(0) / NANOS_PER_MICRO)
        }
        return percentiles(histogram)
    }
}

private val Outcome.prompt: PlannedPrompt?
    get() = request as? PlannedPrompt

private fun phaseNameOf(event: TimedEvent): String =
    when (event) {
        is TimedEvent.ZoneOut -> "${event.zone} out"
        is TimedEvent.ZoneIn -> "${event.zone} in"
        is TimedEvent.Fault -> "fault ${event.standIn}"
    }

/** Percentiles in milliseconds of a histogram in microseconds. */
private fun percentiles(histogram: Histogram): Percentiles {
    fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI
    return Percentiles(histogram.totalCount, at(50.0), at(95.0), at(99.0), at(100.0))
}
