// Predicted times of a model engine, calculated from its declared figures.
package yuccaferry.decisions.dispatch

import yuccaferry.decisions.routing.EngineFigures

/** Predicts how long an engine with [figures] takes for a prompt. */
class EngineModel(
    val figures: EngineFigures,
) {
    /** Returns the milliseconds to prefill one of [parts] equal parts of [tokens] on an otherwise idle engine. */
    fun prefillMillis(
        tokens: Long,
        parts: Int = 1,
    ): Double {
        val linear = tokens / figures.prefillTokensPerMillisecond
        val pairs = tokens.toDouble() * tokens / 2 / PAIRS_PER_MILLION
        return (linear + pairs * figures.pairMillisPerMillion) / parts
    }

    /** Returns the milliseconds of one pass with [decoding] decoding requests whose contexts add up to [contextTokens]. */
    fun passMillis(
        decoding: Int,
        contextTokens: Long,
    ): Double {
        val step =
            figures.stepMillis + decoding * figures.stepMillisPerSequence +
                contextTokens / TOKENS_PER_THOUSAND * figures.contextMillisPerThousand
        return step * figures.stepsPerPass
    }

    /** Returns the fewest parts that prefill [tokens] within [millis], or [maxParts] when that many don't suffice. */
    fun partsFor(
        tokens: Long,
        millis: Double,
        maxParts: Int,
    ): Int {
        val needed = kotlin.math.ceil(prefillMillis(tokens) / millis).toInt()
        return needed.coerceIn(1, maxOf(1, maxParts))
    }

    private companion object {
        const val PAIRS_PER_MILLION = 1e6
        const val TOKENS_PER_THOUSAND = 1e3
    }
}
