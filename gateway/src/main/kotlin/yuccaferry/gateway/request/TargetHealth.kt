// Scores each target by its recent answers and failures.
package yuccaferry.gateway.request

import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.view.Target
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.math.pow

/** Failure scores of targets, which decay with a fixed half-life; confined to the event loop. */
internal class TargetHealth {
    private val scores = HashMap<TargetId, Score>()
    private val answers = HashMap<TargetId, MonotonicTime>()

    /** Returns the milliseconds to add to predicted times at [target]; zero if no failure of this [run] is recorded. */
    fun penaltyMillis(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Double {
        val score = scores[target] ?: return 0.0
        if (score.run != run) return 0.0
        val value = score.at(now)
        return if (value < NEGLIGIBLE_MILLIS) 0.0 else value
    }

    /**
     * Records a failed attempt with a penalty of [millis]. Only a share of it counts if the target has recently answered another request,
     * unless the target can't be reached. The penalty of an earlier run is discarded.
     */
    fun recordFailure(
        target: TargetId,
        run: Incarnation,
        millis: Double,
        now: MonotonicTime,
    ) {
        val before = scores[target]?.takeIf { it.run == run }?.at(now) ?: 0.0
        val answered = answers[target]
        val answersOthers = answered != null && now - answered < RECENT_ANSWER_MILLIS
        val penalty = if (answersOthers && millis < UNREACHABLE_MILLIS) millis * SPORADIC_SHARE else millis
        scores[target] = Score(run, minOf(before + penalty, MAX_PENALTY_MILLIS), now)
    }

    /** Records a complete answer, which reduces the penalty of this [run]. */
    fun recordSuccess(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ) {
        answers[target] = now
        val before = scores[target]?.takeIf { it.run == run } ?: return
        val value = before.at(now) * SUCCESS_FACTOR
        if (value < NEGLIGIBLE_MILLIS) scores -= target else scores[target] = Score(run, value, now)
    }

    private class Score(
        val run: Incarnation,
        val millis: Double,
        val since: MonotonicTime,
    ) {
        fun at(now: MonotonicTime): Double = millis * HALF.pow((now - since) / HALF_LIFE_MILLIS)
    }

    companion object {
        /** Penalty in ms of a target that can't be reached. */
        const val UNREACHABLE_MILLIS = 6_000.0

        /** Penalty in ms of a target whose answer timed out or broke off. */
        const val BROKEN_MILLIS = 3_000.0

        /** Penalty in ms of a target that answered with a server error. */
        const val FAILED_MILLIS = 1_200.0

        /** Penalty in ms of a target that rejects a request without running it, for example because it is full. */
        const val REJECTED_MILLIS = 400.0

        private const val HALF = 0.5

        /** Half-life of a score in ms: short compared with the time for which failed targets stay unavailable. */
        private const val HALF_LIFE_MILLIS = 1_500.0

        /** Milliseconds for which an answer shows that a target works: time for a few requests of one daemon to it. */
        private const val RECENT_ANSWER_MILLIS = 3_000L

        /** Share of a failure's penalty that counts at a target that recently answered. */
        private const val SPORADIC_SHARE = 0.15
        private const val SUCCESS_FACTOR = 0.6
        private const val NEGLIGIBLE_MILLIS = 10.0
        private const val MAX_PENALTY_MILLIS = 20_000.0
    }
}

/** Records the [end] of an attempt at [target] as a success or a failure. */
internal fun TargetHealth.record(
    target: Target,
    end: AttemptEnd,
    now: MonotonicTime,
) {
    val penalty =
        when (end) {
            AttemptEnd.NotSent -> TargetHealth.UNREACHABLE_MILLIS
            is AttemptEnd.Broken, AttemptEnd.TimedOut -> TargetHealth.BROKEN_MILLIS
            is AttemptEnd.Rejected -> TargetHealth.REJECTED_MILLIS
            is AttemptEnd.Answered -> if (end.status >= SERVER_ERROR_STATUS) TargetHealth.FAILED_MILLIS else 0.0
        }
    if (penalty > 0) recordFailure(target.id, target.incarnation, penalty, now) else recordSuccess(target.id, target.incarnation, now)
}

private const val SERVER_ERROR_STATUS = 500
