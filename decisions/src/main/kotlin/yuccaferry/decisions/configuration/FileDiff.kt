/*
 * Structural difference of two operators' files. List entries that have names are matched by name, so
 * that an inserted entry is one change and a new order is none; other lists are compared whole.
 */
package yuccaferry.decisions.configuration

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import yuccaferry.model.OperatorFile
import yuccaferry.model.admin.FileChange

private const val NAME_FIELD = "name"
private val json = Json { encodeDefaults = true }

/** Returns the changes that turn [from] into [to]; empty when the files are equivalent. */
fun diff(
    from: OperatorFile,
    to: OperatorFile,
): List<FileChange> = changes("$", json.encodeToJsonElement(from), json.encodeToJsonElement(to))

private fun changes(
    path: String,
    from: JsonElement,
    to: JsonElement,
): List<FileChange> =
    when {
        from == to -> emptyList()
        from is JsonObject && to is JsonObject -> objectChanges(path, from, to)
        from is JsonArray && to is JsonArray && hasNames(from) && hasNames(to) -> namedListChanges(path, from, to)
        else -> listOf(FileChange(path, from, to))
    }

private fun objectChanges(
    path: String,
    from: JsonObject,
    to: JsonObject,
): List<FileChange> =
    (from.keys + to.keys).flatMap { key ->
        val before = from[key]
        val after = to[key]
        if (before == null || after == null) {
            listOf(FileChange("$path.$key", before, after))
        } else {
            changes("$path.$key", before, after)
        }
    }

private fun namedListChanges(
    path: String,
    from: JsonArray,
    to: JsonArray,
): List<FileChange> {
    val before = from.associateBy { nameOf(it) }
    val kept = to.map { nameOf(it) }.toSet()
    val removed =
        from.withIndex().filter { nameOf(it.value) !in kept }.map { FileChange("$path[${it.index}]", it.value, null) }
    val rest =
        to.withIndex().flatMap { (i, entry) ->
            val earlier = before[nameOf(entry)]
            if (earlier == null) listOf(FileChange("$path[$i]", null, entry)) else changes("$path[$i]", earlier, entry)
        }
    return removed + rest
}

private fun hasNames(list: JsonArray) = list.all { nameOf(it) != null }

private fun nameOf(entry: JsonElement) = (entry as? JsonObject)?.get(NAME_FIELD)
