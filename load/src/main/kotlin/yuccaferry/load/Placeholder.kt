// Placeholder of the module until its first code.
package yuccaferry.load

internal object Placeholder
