// Log lines on standard output, until the metrics come.
package yuccaferry.gateway.app

import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry

internal class ConsoleTelemetry(
    private val name: String,
) : Telemetry by NoTelemetry {
    override fun event(
        name: String,
        vararg fields: Field,
        severity: Severity,
    ) {
        println(
            "level=$severity event=$name daemon=${this.name} " +
                fields.filter { it.value != null }.joinToString(" ") { "${it.key}=${it.value}" },
        )
    }
}
