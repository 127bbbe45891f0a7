/*
 * OpenTelemetry spans with W3C trace context on every hop. Spans are exported by OTLP over HTTP when an
 * endpoint is set; without one they only propagate the trace context.
 */
package yuccaferry.telemetry

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.TraceFlags
import io.opentelemetry.api.trace.TraceState
import io.opentelemetry.context.Context
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import yuccaferry.daemon.port.Span as PortSpan

private val TRACEPARENT = Regex("00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")

/** Returns an exporter to the OTLP endpoint [url], such as `http://127.0.0.1:4318/v1/traces`. */
fun otlpExporter(url: String): SpanExporter = OtlpHttpSpanExporter.builder().setEndpoint(url).build()

/** Creates spans of the process [instanceId] and sends them to [exporter], if there is one. */
internal class Traces(
    instanceId: String,
    exporter: SpanExporter?,
) : AutoCloseable {
    private val provider =
        SdkTracerProvider
            .builder()
            .setResource(
                Resource
                    .builder()
                    .put("service.name", "yuccaferryd")
                    .put("service.instance.id", instanceId)
                    .build(),
            ).apply { exporter?.let { addSpanProcessor(BatchSpanProcessor.builder(it).build()) } }
            .build()
    private val tracer = provider.get("yuccaferry")

    fun open(
        name: String,
        parent: String?,
    ): PortSpan {
        val builder = tracer.spanBuilder(name)
        val context = parent?.let { parse(it) }
        if (context != null) builder.setParent(Context.root().with(Span.wrap(context))) else builder.setNoParent()
        return ActiveSpan(builder.startSpan())
    }

    override fun close() = provider.close()

    private fun parse(traceparent: String): SpanContext? {
        val (trace, span, flags) = TRACEPARENT.matchEntire(traceparent)?.destructured ?: return null
        val context = SpanContext.createFromRemoteParent(trace, span, TraceFlags.fromHex(flags, 0), TraceState.getDefault())
        return context.takeIf { it.isValid }
    }

    private class ActiveSpan(
        private val span: Span,
    ) : PortSpan {
        override val traceparent: String
            get() = span.spanContext.let { "00-${it.traceId}-${it.spanId}-${it.traceFlags.asHex()}" }

        override fun set(
            key: String,
            value: String,
        ) {
            span.setAttribute(key, value)
        }

        override fun fail(message: String) {
            span.setStatus(StatusCode.ERROR, message)
        }

        override fun close() = span.end()
    }
}
