/*
 * Decodes a JSON document that a person wrote, such as an operators' file or a settings file, and
 * reports all its problems at once, each with its location, what was expected and what was found.
 */
package yuccaferry.model.json

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import yuccaferry.model.Problem

/** Decodes [text] as a [T]; the error is the non-empty list of all problems. */
inline fun <reified T> readStrictJson(text: String): Result<T, List<Problem>> = readStrictJson(serializer<T>(), text)

/** Decodes [text] with [serializer]; the error is the non-empty list of all problems. */
fun <T> readStrictJson(
    serializer: KSerializer<T>,
    text: String,
): Result<T, List<Problem>> {
    val malformed = depthProblem(text) ?: syntaxProblem(text)
    if (malformed != null) return Err(listOf(malformed))
    return try {
        val tree = Json.parseToJsonElement(text)
        val problems = ShapeChecker().check(serializer.descriptor, tree)
        if (problems.isEmpty()) Ok(Json.decodeFromJsonElement(serializer, tree)) else Err(problems)
    } catch (e: IllegalArgumentException) {
        Err(listOf(Problem("$", "a document of this format", e.message.orEmpty())))
    }
}
