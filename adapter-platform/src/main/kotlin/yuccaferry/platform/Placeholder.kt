// Placeholder of the module until its first code.
package yuccaferry.platform

internal object Placeholder
