/*
 * Decodes JSON that another process wrote; any bytes may arrive. The decoder recurses once for each level of a JSON tree,
 * so the depth is checked before: a deep document would overflow the stack of the thread that reads it.
 */
package yuccaferry.model.json

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import yuccaferry.model.Problem

/** Most levels of nesting; a stored configuration has five. */
const val MAX_JSON_DEPTH = 64

/** Decodes [text]; throws a [SerializationException] and nothing else when it is no such document or nested too deeply. */
inline fun <reified T> Json.decodeBounded(text: String): T = decodeBounded(serializersModule.serializer<T>(), text)

/** Decodes [text]; throws a [SerializationException] and nothing else when it is no such document or nested too deeply. */
fun <T> Json.decodeBounded(
    type: DeserializationStrategy<T>,
    text: String,
): T {
    depthProblem(text)?.let { throw SerializationException(it.toString()) }
    return try {
        decodeFromString(type, text)
    } catch (invalid: SerializationException) {
        throw invalid
    } catch (invalid: IllegalArgumentException) {
        throw SerializationException(invalid.message, invalid)
    }
}

/** Returns the first place at which [text] is nested deeper than [MAX_JSON_DEPTH] levels, null when it isn't. */
fun depthProblem(text: String): Problem? = DepthScanner(text).scan()

/** Finds excessive depth without checking the syntax; brackets in strings don't count. */
private class DepthScanner(
    private val text: String,
) {
    private var depth = 0
    private var lastString = IntRange.EMPTY
    private var field = IntRange.EMPTY

    fun scan(): Problem? {
        var at = 0
        while (at < text.length) {
            when (text[at]) {
                '"' -> {
                    val end = endOfString(at)
                    if (depth == 1) lastString = at + 1 until end
                    at = end
                }

                ':' -> {
                    if (depth == 1) field = lastString
                }

                '[', '{' -> {
                    if (++depth > MAX_JSON_DEPTH) return problem(at)
                }

                ']', '}' -> {
                    depth--
                }
            }
            at++
        }
        return null
    }

    /** Returns the offset of the quote that ends the string which starts at [start], or the end of the text. */
    private fun endOfString(start: Int): Int {
        var at = start + 1
        while (at < text.length && text[at] != '"') at += if (text[at] == '\\') 2 else 1
        return at
    }

    private fun problem(offset: Int): Problem {
        val path = if (field.isEmpty()) "$" else "$." + shorten(text.substring(field))
        return Problem(path, "at most $MAX_JSON_DEPTH levels of nesting", "more at offset $offset")
    }
}
