// Estimates a prompt's tokens from its size, corrected by the counts that engines report.
package yuccaferry.decisions.placement

/** Bytes of UTF-8 that make one token, before any correction. */
const val BYTES_PER_TOKEN = 4

private const val LEARNING_RATE = 0.05
private const val MIN_FACTOR = 0.25
private const val MAX_FACTOR = 4.0

/** Estimates the tokens of [text]: one for every four bytes of UTF-8, rounded up. */
fun estimateTokens(text: String): Long = tokensOfBytes(utf8Bytes(text))

/** Estimates the tokens of [bytes] bytes of UTF-8, rounded up. */
fun tokensOfBytes(bytes: Long): Long = (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN

/**
 * Corrects estimates for one model by an exponential moving average of the ratio of reported to estimated tokens.
 *
 * @property factor reported tokens per estimated token, between 0.25 and 4.
 */
data class TokenEstimator(
    val factor: Double = 1.0,
) {
    /** Returns the corrected estimate for [text], in tokens; never zero for a text that is not empty. */
    fun estimate(text: String): Long = correct(estimateTokens(text))

    /** Returns the estimate [tokens] after correction; never zero unless [tokens] is. */
    fun correct(tokens: Long): Long = if (tokens == 0L) 0 else (tokens * factor).toLong().coerceAtLeast(1)

    /** Returns the estimator updated by an engine's report of [reported] tokens for a prompt estimated at [estimated] before correction. */
    fun observe(
        estimated: Long,
        reported: Long,
    ): TokenEstimator {
        if (estimated <= 0 || reported <= 0) return this
        val ratio = (reported.toDouble() / estimated).coerceIn(MIN_FACTOR, MAX_FACTOR)
        return TokenEstimator(factor + LEARNING_RATE * (ratio - factor))
    }
}

private fun utf8Bytes(text: String): Long {
    var bytes = 0L
    for (char in text) {
        bytes +=
            when {
                char.code < 0x80 -> 1

                char.code < 0x800 -> 2

                // Half of the four bytes of a surrogate pair.
                char.isSurrogate() -> 2

                else -> 3
            }
    }
    return bytes
}
