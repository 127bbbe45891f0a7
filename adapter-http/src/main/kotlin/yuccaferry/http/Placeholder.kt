// Placeholder of the module until its first code.
package yuccaferry.http

internal object Placeholder
