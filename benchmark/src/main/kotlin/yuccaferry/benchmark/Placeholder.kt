// Placeholder of the module until its first code.
package yuccaferry.benchmark

internal object Placeholder
