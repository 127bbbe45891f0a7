/*
 * Compares runs of one experiment: each against the first, which is the baseline. The gain of a time or of a count of
 * failures is the baseline's value divided by the other's, and that of all other figures the inverse, so that a gain
 * above one is always better than the baseline.
 */
package yuccaferry.load

private const val MIN_SLOWDOWN_REQUESTS = 20

/** The table that compares [others] with [baseline]. */
internal fun comparisonOf(
    baseline: RunResult,
    others: List<RunResult>,
): String =
    buildString {
        val runs = listOf(baseline) + others
        runs.forEachIndexed { number, run -> appendLine("run ${number + 1}: ${run.label}${if (number == 0) ", the baseline" else ""}") }
        val columns = runs.indices.map { "run ${it + 1}" } + others.indices.map { "gain ${it + 2}" }
        appendLine(line("", *columns.toTypedArray()))
        for (measure in measures(runs)) appendLine(measure.row(baseline, others))
        for (run in others) {
            if (run.seed != baseline.seed || run.experiment != baseline.experiment || run.without != baseline.without) {
                appendLine("note: ${run.label} ran another load than ${baseline.label}")
            }
        }
    }

/**
 * One compared figure.
 *
 * @property higherIsBetter true for rates and counts of success, false for times and counts of failures.
 */
private class Measure(
    val name: String,
    val higherIsBetter: Boolean,
    val of: (RunResult) -> Double?,
) {
    fun row(
        baseline: RunResult,
        others: List<RunResult>,
    ): String {
        val base = of(baseline)
        val values = (listOf(baseline) + others).map { run -> of(run)?.let(::format) ?: "-" }
        val gains = others.map { gain(base, of(it)) }
        return line(name, *(values + gains).toTypedArray())
    }

    private fun gain(
        base: Double?,
        other: Double?,
    ): String {
        if (base == null || other == null || minOf(base, other) <= 0) return "-"
        return "x" + format(if (higherIsBetter) other / base else base / other)
    }
}

private fun measures(runs: List<RunResult>): List<Measure> =
    buildList {
        for (lengthClass in LengthClass.entries) {
            add(Measure("first token p50, ${lengthClass.label}", false) { it.of(lengthClass)?.firstToken?.p50 })
            add(Measure("first token p95, ${lengthClass.label}", false) { it.of(lengthClass)?.firstToken?.p95 })
            add(Measure("first token p99, ${lengthClass.label}", false) { it.of(lengthClass)?.firstToken?.p99 })
        }
        add(Measure("between tokens p95, short", false) { it.of(LengthClass.SHORT)?.betweenTokens?.p95 })
        add(Measure("short p95 beside long", false) { it.besideLong.beside.p95 })
        add(Measure("short p95, no long", false) { it.besideLong.alone.p95 })
        add(Measure("short slowdown by long", false, ::slowdown))
        add(Measure("account p95, smallest", false) { smallestAccount(it)?.shortFirstToken?.p95 })
        add(Measure("account p95, median", false, ::medianAccountP95))
        for (phase in runs.first().phases.indices) {
            add(
                Measure("short p95, ${runs.first().phases[phase].name}", false) {
                    it.phases
                        .getOrNull(phase)
                        ?.shortFirstToken
                        ?.p95
                },
            )
        }
        add(Measure("complete requests/s", true) { it.completePerSecond })
        add(Measure("requests not complete", false) { (it.requests - it.complete).toDouble() })
        add(Measure("wrong answers", false) { it.wrongAnswers.toDouble() })
        add(Measure("bookings duplicated", false) { it.bookings?.duplicated?.toDouble() })
        add(Measure("bookings lost", false) { it.bookings?.lost?.toDouble() })
    }

private fun slowdown(run: RunResult): Double? {
    val beside = run.besideLong
    if (beside.beside.count < MIN_SLOWDOWN_REQUESTS || beside.alone.count < MIN_SLOWDOWN_REQUESTS) return null
    return beside.beside.p95 / beside.alone.p95
}

private fun measuredAccounts(run: RunResult) = run.accounts.filter { it.shortFirstToken.count > 0 }

private fun smallestAccount(run: RunResult) = measuredAccounts(run).minByOrNull { it.requests }

private fun medianAccountP95(run: RunResult): Double? {
    val sorted = measuredAccounts(run).map { it.shortFirstToken.p95 }.sorted()
    return sorted.getOrNull(sorted.size / 2)
}
