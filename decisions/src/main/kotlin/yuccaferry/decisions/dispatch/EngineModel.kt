// Times of a model engine, worked out from its published figures.
package yuccaferry.decisions.dispatch

import yuccaferry.decisions.routing.EngineFigures

/** Predicts how long [figures]' engine takes for a prompt. */
class EngineModel(
    val figures: EngineFigures,
) {
    /** Milliseconds to read [tokens] as one of [parts] even parts on an engine that does nothing else. */
    fun readMillis(
        tokens: Long,
        parts: Int = 1,
    ): Double {
        val linear = tokens / figures.readTokensPerMillisecond
        val pairs = tokens.toDouble() * tokens / 2 / PAIRS_PER_MILLION
        return (linear + pairs * figures.pairMillisPerMillion) / parts
    }

    /** Milliseconds of one pass with [writers] requests that write, of which the contexts sum up to [contextTokens]. */
    fun passMillis(
        writers: Int,
        contextTokens: Long,
    ): Double {
        val step =
            figures.stepMillis + writers * figures.stepMillisPerWriter +
                contextTokens / TOKENS_PER_THOUSAND * figures.contextMillisPerThousand
        return step * figures.stepsPerPass
    }

    /** The fewest parts, at most [most], that read [tokens] within [millis]. */
    fun partsFor(
        tokens: Long,
        millis: Double,
        most: Int,
    ): Int {
        val needed = kotlin.math.ceil(readMillis(tokens) / millis).toInt()
        return needed.coerceIn(1, maxOf(1, most))
    }

    private companion object {
        const val PAIRS_PER_MILLION = 1e6
        const val TOKENS_PER_THOUSAND = 1e3
    }
}
