// Renders the figures of one run as a text table.
package yuccaferry.load

private const val NAME_WIDTH = 26
private const val NUMBER_WIDTH = 9

/** The table of [result], with a line feed at the end of each line. */
internal fun tableOf(result: RunResult): String =
    buildString {
        appendLine("${result.label}: experiment=${result.experiment} seed=${result.seed} measured=${measuredSeconds(result)} s")
        if (result.without.isNotEmpty()) appendLine("without prompts of class ${result.without.joinToString { it.label }}")
        appendLine(line("", "requests", "complete", "p50 ms", "p95 ms", "p99 ms", "max ms"))
        for (entry in result.classes) {
            appendLine(timesRow("first token, ${entry.lengthClass.label}", entry.requests, entry.complete, entry.firstToken))
        }
        for (entry in result.classes) appendLine(timesRow("between tokens, ${entry.lengthClass.label}", null, null, entry.betweenTokens))
        appendLine(
            timesRow(
                "short beside long",
                result.besideLong.beside.count
                    .toInt(),
                null,
                result.besideLong.beside,
            ),
        )
        appendLine(
            timesRow(
                "short, no long",
                result.besideLong.alone.count
                    .toInt(),
                null,
                result.besideLong.alone,
            ),
        )
        for (account in result.accounts) {
            appendLine(timesRow("short of ${account.account}", account.requests, account.complete, account.shortFirstToken))
        }
        if (result.phases.size > 1) {
            for (phase in result.phases) {
                val name = "short, ${phase.name} ${format(phase.fromSeconds)}-${format(phase.toSeconds)} s"
                appendLine(timesRow(name, phase.requests, phase.complete, phase.shortFirstToken))
            }
        }
        val cached = result.classes.joinToString(" ") { "${it.lengthClass.label}=${format(it.cachedShare * PERCENT)}%" }
        appendLine("cached prompt tokens: $cached")
        appendLine(
            "goodput: ${format(result.completePerSecond)} requests/s, ${format(result.promptTokensPerSecond)} prompt tokens/s; " +
                "complete ${result.complete} of ${result.requests}; wrong answers ${result.wrongAnswers}",
        )
        result.errors.forEach { appendLine("error ${it.code}: ${it.count} (${it.example})") }
        result.bookings?.let { appendLine(bookingLine(it)) }
        result.failedEvents.forEach { appendLine("event failed: $it") }
        appendLine("latest start of a request against its intended time: ${format(result.startLagMillis)} ms")
    }

/** Formats one row: [name] aligned to the left, [columns] to the right. */
internal fun line(
    name: String,
    vararg columns: String,
): String = name.padEnd(NAME_WIDTH) + columns.joinToString("") { " " + it.padStart(NUMBER_WIDTH) }

/** Formats [value] with two decimals below 10, one below 100 and none above. */
internal fun format(value: Double): String =
    when {
        value >= 100 -> "%.0f".format(value)
        value >= 10 -> "%.1f".format(value)
        else -> "%.2f".format(value)
    }

private const val PERCENT = 100

private fun measuredSeconds(result: RunResult) = result.durationSeconds - result.warmUpSeconds

private fun timesRow(
    name: String,
    requests: Int?,
    complete: Int?,
    times: Percentiles,
) = line(
    name,
    requests?.toString().orEmpty(),
    complete?.toString().orEmpty(),
    format(times.p50),
    format(times.p95),
    format(times.p99),
    format(times.max),
)

private fun bookingLine(bookings: BookingResult) =
    "bookings: sent=${bookings.sent} confirmed=${bookings.confirmed} ran=${bookings.ran} duplicated=${bookings.duplicated} " +
        "lost=${bookings.lost} falsely_not_run=${bookings.falselyNotRun} unknown=${bookings.unknown}"
