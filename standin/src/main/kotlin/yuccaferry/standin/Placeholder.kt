// Placeholder of the module until its first code.
package yuccaferry.standin

internal object Placeholder
