// Placeholder of the module until its first code.
package yuccaferry.telemetry

internal object Placeholder
