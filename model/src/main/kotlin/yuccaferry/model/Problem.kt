// Problems found in a document that a person wrote, each with the place it was found at.
package yuccaferry.model

import kotlinx.serialization.Serializable

/**
 * One problem in an operators' file or a settings file.
 *
 * @property path JSON path of the value, such as `$.zones[1].name`.
 * @property expected what would have been right.
 * @property found what was there.
 */
@Serializable
data class Problem(
    val path: String,
    val expected: String,
    val found: String,
) {
    override fun toString() = "expected $expected but found $found at $path"
}
