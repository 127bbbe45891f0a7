/*
 * The text that the engine stand-in generates. It depends only on the model, the original prompt and the number
 * of the piece, so that a test can compute the whole answer that a caller must receive.
 */
package yuccaferry.standin.engine

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val LETTERS = 26
private const val LETTERS_PER_PIECE = 3

/** Computes the text of generated pieces. */
object PieceText {
    /** Returns the text of piece [number] of the answer to [prompt]: three letters and a space, which is one token. */
    fun piece(
        model: String,
        prompt: String,
        number: Int,
    ): String = piece(seed(model, prompt), number)

    /** Returns the text of the pieces from [first], inclusive, to [end], exclusive. */
    fun answer(
        model: String,
        prompt: String,
        end: Int,
        first: Int = 0,
    ): String {
        val seed = seed(model, prompt)
        return (first until end).joinToString("") { piece(seed, it) }
    }

    internal fun seed(
        model: String,
        prompt: String,
    ): Long = fnv(prompt.encodeToByteArray(), fnv(model.encodeToByteArray()))

    internal fun piece(
        seed: Long,
        number: Int,
    ): String {
        var bits = mix(seed + number) ushr 1
        return buildString {
            repeat(LETTERS_PER_PIECE) {
                append('a' + (bits % LETTERS).toInt())
                bits /= LETTERS
            }
            append(' ')
        }
    }

    /** Computes the 64-bit FNV-1a hash of the bytes from [from] to [until], continued from [start]. */
    internal fun fnv(
        bytes: ByteArray,
        start: Long = FNV_OFFSET,
        from: Int = 0,
        until: Int = bytes.size,
    ): Long {
        var hash = start
        for (i in from until until) hash = (hash xor (bytes[i].toLong() and 0xff)) * FNV_PRIME
        return hash
    }

    /** Mixes bits with the finaliser of SplitMix64. */
    private fun mix(value: Long): Long {
        var bits = value * -0x61c8864680b583ebL
        bits = (bits xor (bits ushr 30)) * -0x40a7b892e31b1a47L
        bits = (bits xor (bits ushr 27)) * -0x6b2fb644ecceee15L
        return bits xor (bits ushr 31)
    }
}
