// Placeholder of the module until its first code.
package yuccaferry.ctl

internal object Placeholder
