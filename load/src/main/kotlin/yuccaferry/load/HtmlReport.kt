// Renders a self-contained HTML page with the tables and plots of one or more runs.
package yuccaferry.load

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.internal.chartpart.Chart
import org.knowm.xchart.style.markers.SeriesMarkers
import java.util.Base64

private const val WIDTH_PIXELS = 900
private const val HEIGHT_PIXELS = 360
private const val MIN_PLOTTED_MILLIS = 0.1

/** The page for [runs], the baseline first. */
internal fun htmlReport(runs: List<RunResult>): String {
    System.setProperty("java.awt.headless", "true")
    val tables = runs.joinToString("\n") { "<pre>${escape(tableOf(it))}</pre>" }
    val comparison = if (runs.size > 1) "<h2>Comparison</h2><pre>${escape(comparisonOf(runs.first(), runs.drop(1)))}</pre>" else ""
    return """
        |<!DOCTYPE html>
        |<html lang="en"><head><meta charset="utf-8"><title>${escape(runs.first().experiment)}</title>
        |<style>body{font-family:sans-serif;max-width:1100px;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>
        |</head><body>
        |<h1>Experiment ${escape(runs.first().experiment)}, seed ${runs.first().seed}</h1>
        |$comparison
        |<h2>Time to first token by prompt length</h2>
        |${image(firstTokenChart(runs))}
        |<h2>Short prompts through the run</h2>
        |${image(shortChart(runs))}
        |<h2>Complete requests through the run</h2>
        |${image(goodputChart(runs))}
        |<h2>Runs</h2>
        |$tables
        |</body></html>
        |
        """.trimMargin()
}

private fun firstTokenChart(runs: List<RunResult>): CategoryChart {
    val chart =
        CategoryChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("p95 time to first token")
            .yAxisTitle("ms")
            .build()
    chart.styler.isYAxisLogarithmic = true
    chart.styler.yAxisMin = MIN_PLOTTED_MILLIS
    val classes = LengthClass.entries.filter { lengthClass -> runs.any { it.of(lengthClass) != null } }
    for (run in runs) {
        val values = classes.map { plotted(run.of(it)?.firstToken?.p95) }
        chart.addSeries(run.label, classes.map { it.label }, values)
    }
    return chart
}

private fun shortChart(runs: List<RunResult>): XYChart {
    val chart = timeChart("p95 time to first token of short prompts, by second of their start", "ms")
    chart.styler.isYAxisLogarithmic = true
    chart.styler.yAxisMin = MIN_PLOTTED_MILLIS
    for (run in runs) {
        val points = run.timeline.filter { it.shortP95Millis != null }
        if (points.isEmpty()) continue
        addLine(chart, run.label, points.map { it.second }, points.map { plotted(it.shortP95Millis) })
    }
    return chart
}

private fun goodputChart(runs: List<RunResult>): XYChart {
    val chart = timeChart("requests that completed, by second of their start", "requests/s")
    for (run in runs) addLine(chart, run.label, run.timeline.map { it.second }, run.timeline.map { it.complete.toDouble() })
    return chart
}

private fun timeChart(
    title: String,
    unit: String,
): XYChart =
    XYChartBuilder()
        .width(WIDTH_PIXELS)
        .height(HEIGHT_PIXELS)
        .title(title)
        .xAxisTitle("s")
        .yAxisTitle(unit)
        .build()

private fun addLine(
    chart: XYChart,
    name: String,
    seconds: List<Int>,
    values: List<Double>,
) {
    chart.addSeries(name, seconds.map { it.toDouble() }.toDoubleArray(), values.toDoubleArray()).marker = SeriesMarkers.NONE
}

/** Raises missing and small values to [MIN_PLOTTED_MILLIS], as a logarithmic axis has no zero. */
private fun plotted(millis: Double?): Double = (millis ?: 0.0).coerceAtLeast(MIN_PLOTTED_MILLIS)

private fun image(chart: Chart<*, *>): String {
    val bytes = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG)
    val title = escape(chart.title)
    return "<img alt=\"$title\" width=\"$WIDTH_PIXELS\" src=\"data:image/png;base64,${Base64.getEncoder().encodeToString(bytes)}\">"
}

private fun escape(text: String) = text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")
