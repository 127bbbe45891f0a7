// Problems in a document that a person wrote, each with its location.
package yuccaferry.model

import kotlinx.serialization.Serializable

/**
 * One problem in an operators' file or a settings file.
 *
 * @property path JSON path of the value, such as `$.zones[1].name`.
 * @property expected description of a valid value.
 * @property found the value in the document, or a description of it.
 */
@Serializable
data class Problem(
    val path: String,
    val expected: String,
    val found: String,
) {
    override fun toString() = "expected $expected but found $found at $path"
}
