// A piece of work at a target.
package yuccaferry.gateway.peers

import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId

/**
 * One request, or one part of a prompt, in progress at a target.
 *
 * @property tokens tokens of memory that it takes there.
 * @property isLong whether the prompt is long.
 * @property prefillMillis predicted duration of the prompt's prefill there.
 */
internal class Work(
    val target: TargetId,
    val tokens: Long,
    val isLong: Boolean,
    val prefillMillis: Double,
    private val start: MonotonicTime,
) {
    /** Whether the prefill is complete. */
    var isPrefilled = false

    /** Predicted time until the prefill is complete; above zero until then, because earlier prefills may have delayed this one. */
    fun remainingPrefillMillis(now: MonotonicTime): Double =
        if (isPrefilled) 0.0 else maxOf(prefillMillis * MIN_REMAINING_SHARE, prefillMillis - (now - start))

    private companion object {
        /** Smallest share of the predicted time that is assumed to remain until the prefill is complete. */
        const val MIN_REMAINING_SHARE = 0.2
    }
}

/** Totals of the work at one target. */
internal class WorkTotals(
    val active: Int,
    val remainingPrefillMillis: Double,
    val heldTokens: Long,
    val longRequests: Int,
)

/** Kind of a change of a daemon's own work. */
internal enum class WorkChange {
    /** A long prompt began or ended. */
    LONG,

    /** A short prompt or a call began or ended. */
    SHORT,

    /** The prefill of a long prompt is complete. */
    PREFILLED,
}
