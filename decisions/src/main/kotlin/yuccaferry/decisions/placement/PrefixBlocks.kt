/*
 * Hashes of a prompt's first blocks. Two prompts that share their first N blocks share the first N hashes,
 * so that the requests of one conversation can be sent to the engine that has their start in its prefix cache.
 */
package yuccaferry.decisions.placement

/** Bytes of UTF-8 in one block: 256 tokens. */
const val PREFIX_BLOCK_BYTES = 1_024

/** Most blocks of a prompt that are hashed. */
const val MAX_PREFIX_BLOCKS = 32

/** Returns the hashes of the whole blocks at the start of [prompt], each covering all blocks before it; at most [maxBlocks]. */
fun blockHashes(
    prompt: String,
    maxBlocks: Int = MAX_PREFIX_BLOCKS,
): List<Long> {
    val bytes = startOf(prompt, maxBlocks * PREFIX_BLOCK_BYTES).encodeToByteArray()
    val blocks = minOf(bytes.size / PREFIX_BLOCK_BYTES, maxBlocks)
    var hash = 0L
    return List(blocks) { block ->
        hash = chainedHash(hash, bytes, block * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES)
        hash
    }
}

/** Returns the first [limit] characters of [text], or one more where that would cut a surrogate pair. */
private fun startOf(
    text: String,
    limit: Int,
): String =
    when {
        text.length <= limit -> text
        text[limit - 1].isHighSurrogate() -> text.substring(0, limit + 1)
        else -> text.substring(0, limit)
    }
