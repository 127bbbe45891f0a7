// Formats log lines of key=value pairs. Values with spaces, quotes or control characters are quoted and escaped.
package yuccaferry.telemetry

import yuccaferry.daemon.port.Field

private val PLAIN = Regex("[A-Za-z0-9_.,:/@+-]+")

/** Returns `event=NAME` followed by each field whose value is not null. */
fun logLine(
    name: String,
    fields: List<Field>,
): String =
    buildString {
        append("event=").append(quoted(name))
        for (field in fields) {
            val value = field.value ?: continue
            append(' ').append(field.key).append('=').append(quoted(value.toString()))
        }
    }

private fun quoted(value: String): String {
    if (PLAIN.matches(value)) return value
    return buildString {
        append('"')
        value.forEach { append(escaped(it)) }
        append('"')
    }
}

private fun escaped(c: Char): String =
    when {
        c == '"' -> "\\\""
        c == '\\' -> "\\\\"
        c == '\n' -> "\\n"
        c == '\r' -> "\\r"
        c == '\t' -> "\\t"
        c.isISOControl() -> "\\u%04x".format(c.code)
        else -> c.toString()
    }
