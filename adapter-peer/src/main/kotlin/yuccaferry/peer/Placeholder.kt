// Placeholder of the module until its first code.
package yuccaferry.peer

internal object Placeholder
