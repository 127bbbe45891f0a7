// Hashes that are the same on every daemon, whatever its version of the JVM.
package yuccaferry.decisions.placement

import com.dynatrace.hash4j.consistent.ConsistentHashing
import com.dynatrace.hash4j.hashing.Hashing
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider

private val hasher = Hashing.komihash5_0()

/** Returns a hash of [text] that is the same in every process. */
internal fun stableHash(text: String): Long = hasher.hashCharsToLong(text)

/** Returns the hash of [size] bytes of [bytes] from index [from], chained to the [previous] hash. */
internal fun chainedHash(
    previous: Long,
    bytes: ByteArray,
    from: Int,
    size: Int,
): Long = mix(previous xor hasher.hashBytesToLong(bytes, from, size))

/** Applies the finalizer of SplitMix64, by which every input bit affects all output bits. */
internal fun mix(value: Long): Long {
    val once = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
    val twice = (once xor (once ushr 27)) * -0x6b2fb644ecceee15L
    return twice xor (twice ushr 31)
}

/** Returns a position below [count] for [key]; when [count] grows by one, about one key in [count] moves. */
internal fun jumpHash(
    key: Long,
    count: Int,
): Int = ConsistentHashing.jumpHash(PseudoRandomGeneratorProvider.splitMix64_V1()).getBucket(key, count)
