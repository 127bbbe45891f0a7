// Implements the telemetry port: logs with Log4j 2, metrics with Micrometer in the Prometheus text format, traces with OpenTelemetry.
package yuccaferry.telemetry

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Span
import yuccaferry.daemon.port.Telemetry
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Telemetry of the process [name]; [close] sends the spans that are still buffered.
 *
 * @param exporter receives the spans; null exports none.
 */
class DaemonTelemetry(
    private val name: String,
    exporter: SpanExporter? = null,
) : Telemetry,
    AutoCloseable {
    private val logger = LogManager.getLogger("yuccaferry")
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val gcMetrics = JvmGcMetrics().apply { bindTo(registry) }
    private val limiter = LogRateLimiter()

    /** Limits warnings and errors by themselves, so that other lines can't use up their share. */
    private val warningLimiter = LogRateLimiter()
    private val droppedLines = registry.counter("yuccaferry_log_lines_dropped_total")
    private val lazyTraces = lazy { Traces(name, exporter) }
    private val traces by lazyTraces

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    override fun event(
        name: String,
        vararg fields: Field,
        severity: Severity,
    ) {
        val level = levelOf(severity)
        if (!logger.isEnabled(level)) return
        val limit = if (level.isMoreSpecificThan(Level.WARN)) warningLimiter else limiter
        when (val decision = limit.admit(System.nanoTime() / NANOS_PER_MILLI)) {
            LogRateLimiter.Decision.Dropped -> {
                droppedLines.increment()
            }

            is LogRateLimiter.Decision.Admitted -> {
                if (decision.droppedBefore > 0) write(Level.WARN, "log_lines_dropped", listOf(Field("count", decision.droppedBefore)))
                write(level, name, fields.asList())
            }
        }
    }

    private fun write(
        level: Level,
        event: String,
        fields: List<Field>,
    ) = logger.log(level, logLine(event, listOf(Field("daemon", name)) + fields))

    override fun count(
        name: String,
        amount: Double,
        vararg labels: Field,
    ) = registry.counter(name, tags(labels)).increment(amount)

    override fun time(
        name: String,
        millis: Long,
        vararg labels: Field,
    ) = Timer
        .builder(name)
        .tags(tags(labels))
        .serviceLevelObjectives(*BUCKETS)
        .register(registry)
        .record(millis, TimeUnit.MILLISECONDS)

    override fun gauge(
        name: String,
        vararg labels: Field,
        read: () -> Double,
    ) {
        Gauge.builder(name, read).tags(tags(labels)).register(registry)
    }

    override fun span(
        name: String,
        parent: String?,
    ): Span = traces.open(name, parent)

    override fun close() {
        if (lazyTraces.isInitialized()) traces.close()
        gcMetrics.close()
        registry.close()
    }

    private fun tags(labels: Array<out Field>) = Tags.of(labels.map { Tag.of(it.key, it.value.toString()) })

    private fun levelOf(severity: Severity): Level =
        when (severity) {
            Severity.DEBUG -> Level.DEBUG
            Severity.INFO -> Level.INFO
            Severity.WARN -> Level.WARN
            Severity.ERROR -> Level.ERROR
        }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Upper bounds of latency buckets: the latency objectives and timeouts in use are between 100 ms and 15 s. */
        val BUCKETS: Array<Duration> =
            longArrayOf(5, 20, 50, 100, 200, 300, 500, 1_000, 1_500, 3_000, 5_000, 10_000, 15_000)
                .map { Duration.ofMillis(it) }
                .toTypedArray()
    }
}
