// Token estimate and block hashes of a prompt.
package yuccaferry.standin.engine

private const val BYTES_PER_TOKEN = 4

/** Tokens of one block of the prefix cache. */
internal const val BLOCK_TOKENS = 256
private const val BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN

/**
 * Token count and hashes of a prompt.
 *
 * @property seed hash of the model and the prompt, which determines the answer.
 * @property tokens estimated number of tokens: one for each four bytes of UTF-8, rounded up.
 * @property blocks FNV-1a hash of each whole block, chained from the hash of the model, so that equal hashes mean equal prefixes.
 */
internal class PromptTokens(
    val seed: Long,
    val tokens: Long,
    val blocks: LongArray,
) {
    companion object {
        /** Computes the tokens and hashes of [prompt] for [model]. */
        fun of(
            model: String,
            prompt: String,
        ): PromptTokens {
            val bytes = prompt.encodeToByteArray()
            val start = PieceText.fnv(model.encodeToByteArray())
            val blocks = LongArray(bytes.size / BLOCK_BYTES)
            var hash = start
            for (i in blocks.indices) {
                hash = PieceText.fnv(bytes, hash, i * BLOCK_BYTES, (i + 1) * BLOCK_BYTES)
                blocks[i] = hash
            }
            val seed = PieceText.fnv(bytes, hash, blocks.size * BLOCK_BYTES)
            return PromptTokens(seed, tokens(bytes.size), blocks)
        }

        /** Returns the estimated number of tokens of [text]. */
        fun tokens(text: String): Long = tokens(text.encodeToByteArray().size)

        private fun tokens(bytes: Int): Long = ((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN).toLong()
    }
}
