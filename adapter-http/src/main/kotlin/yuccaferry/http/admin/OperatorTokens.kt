// Operators' bearer tokens. Only their hashes are stored.
package yuccaferry.http.admin

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/**
 * One operator who may use the admin API.
 *
 * @property name the operator's name, recorded with each change that the operator makes.
 * @property tokenSha256 lower-case hex SHA-256 of the operator's token.
 */
@Serializable
data class OperatorToken(
    val name: String,
    val tokenSha256: String,
)

/** Authenticates operators by their bearer tokens. */
class OperatorTokens(
    tokens: List<OperatorToken>,
) {
    private class Entry(
        val name: String,
        val hash: ByteArray,
    )

    private val entries = tokens.map { Entry(it.name, it.tokenSha256.encodeToByteArray()) }

    /**
     * Returns the name of the operator whose token is [token], or null when there is none. The time taken doesn't depend
     * on which entry matches or whether one does.
     */
    fun operatorOf(token: String): String? {
        val hash = sha256Hex(token).encodeToByteArray()
        var found: String? = null
        entries.forEach { if (MessageDigest.isEqual(it.hash, hash)) found = it.name }
        return found
    }
}

private fun sha256Hex(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
