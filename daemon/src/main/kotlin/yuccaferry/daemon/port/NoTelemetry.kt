// Telemetry for tools and tests that record none.
package yuccaferry.daemon.port

/** Records nothing. */
object NoTelemetry : Telemetry {
    override fun event(
        name: String,
        vararg fields: Field,
        severity: Severity,
    ) = Unit

    override fun count(
        name: String,
        amount: Double,
        vararg labels: Field,
    ) = Unit

    override fun time(
        name: String,
        millis: Long,
        vararg labels: Field,
    ) = Unit

    override fun gauge(
        name: String,
        vararg labels: Field,
        read: () -> Double,
    ) = Unit

    override fun span(
        name: String,
        parent: String?,
    ): Span = NoSpan
}

private object NoSpan : Span {
    override val traceparent = ""

    override fun set(
        key: String,
        value: String,
    ) = Unit

    override fun fail(message: String) = Unit

    override fun close() = Unit
}
