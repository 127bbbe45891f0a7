// Port to logs, metrics and traces. Names are constants of the calling code; values are written by their `toString()`.
package yuccaferry.daemon.port

/** Severity of a log event. */
enum class Severity { DEBUG, INFO, WARN, ERROR }

/** One key and value of a log event or a label of a metric. */
data class Field(
    val key: String,
    val value: Any?,
)

/** One open span; [close] ends it. */
interface Span : AutoCloseable {
    /** The W3C `traceparent` of this span, to send to the next hop. */
    val traceparent: String

    /** Adds an attribute. */
    fun set(
        key: String,
        value: String,
    )

    /** Marks the span as failed. */
    fun fail(message: String)
}

/** Logs, metrics and traces. */
interface Telemetry {
    /** Writes one log line of key=value pairs. */
    fun event(
        name: String,
        vararg fields: Field,
        severity: Severity = Severity.INFO,
    )

    /** Adds [amount] to a counter. */
    fun count(
        name: String,
        amount: Double = 1.0,
        vararg labels: Field,
    )

    /** Records one duration in milliseconds. */
    fun time(
        name: String,
        millis: Long,
        vararg labels: Field,
    )

    /** Registers a gauge that is read when metrics are scraped. */
    fun gauge(
        name: String,
        vararg labels: Field,
        read: () -> Double,
    )

    /** Opens a span below [parent], a W3C `traceparent` or null for a new trace. */
    fun span(
        name: String,
        parent: String? = null,
    ): Span
}
