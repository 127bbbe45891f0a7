// Digests that name a booking in the ledger and distinguish a repeated request from another one with the same key.
package yuccaferry.decisions.ledger

import yuccaferry.model.AccountName
import yuccaferry.model.ServiceName
import java.nio.ByteBuffer
import java.security.MessageDigest

private const val DIGEST_BYTES = 16

/** Digest of a request's method, path and body, in hexadecimal. */
@JvmInline
value class Fingerprint(
    val value: String,
) {
    override fun toString() = value

    companion object {
        /** Returns the fingerprint of one request. */
        fun of(
            method: String,
            path: String,
            body: ByteArray,
        ) = Fingerprint(digest(method.toByteArray(), path.toByteArray(), body))
    }
}

/** Key of a booking's record in the key-value service; idempotency keys are scoped by account and service. */
@JvmInline
value class LedgerKey(
    val value: String,
) {
    override fun toString() = value

    companion object {
        /** Prefix of all records. */
        const val PREFIX = "yuccaferry/ledger/"

        /** Returns the key of the record for [idempotencyKey]. */
        fun of(
            account: AccountName,
            service: ServiceName,
            idempotencyKey: String,
        ): LedgerKey {
            val hash = digest(account.value.toByteArray(), service.value.toByteArray(), idempotencyKey.toByteArray())
            return LedgerKey("$PREFIX$account/$service/$hash")
        }
    }
}

/** Returns the digest of a body that is not stored. */
fun bodyDigest(body: ByteArray): String = digest(body)

/** Digests [parts] with their lengths, so that moving a byte from one part to the next changes the digest. */
private fun digest(vararg parts: ByteArray): String {
    val sha = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
        sha.update(part)
    }
    return sha.digest().take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }
}
