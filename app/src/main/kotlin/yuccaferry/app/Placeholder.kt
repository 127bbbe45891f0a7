// Placeholder of the module until its first code.
package yuccaferry.app

internal object Placeholder
