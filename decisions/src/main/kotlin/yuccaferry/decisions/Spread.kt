// Spreads what would otherwise happen at one moment, without state and the same way each time.
package yuccaferry.decisions

import com.dynatrace.hash4j.hashing.Hashing

/** Returns a number from zero to one that is the same for the same [text] and evenly spread over different ones. */
internal fun spreadOf(text: String): Double {
    val hash = Hashing.komihash5_0().hashCharsToLong(text)
    return (hash ushr HASH_SHIFT).toDouble() / (1L shl HASH_BITS)
}

/** Bits of a hash that a double represents exactly. */
private const val HASH_BITS = 53
private const val HASH_SHIFT = 64 - HASH_BITS
