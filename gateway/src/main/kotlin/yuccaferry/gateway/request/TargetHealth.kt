// What recent answers and failures say about each target.
package yuccaferry.gateway.request

import yuccaferry.decisions.forward.AttemptEnd
import yuccaferry.gateway.view.Target
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.math.pow

/** Failure scores of targets, halved at a fixed interval; confined to the event loop. */
internal class TargetHealth {
    private val scores = HashMap<TargetId, Score>()
    private val answers = HashMap<TargetId, MonotonicTime>()

    /** Milliseconds to add to a predicted time at this run of a target. */
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

    /** Records that an attempt failed in a way that costs [millis]; a target that has just answered others costs a share of it. */
    fun recordFailure(
        target: TargetId,
        run: Incarnation,
        millis: Double,
        now: MonotonicTime,
    ) {
        val before = scores[target]?.takeIf { it.run == run }?.at(now) ?: 0.0
        val answered = answers[target]
        val answersOthers = answered != null && now - answered < RECENT_ANSWER_MILLIS
        val cost = if (answersOthers && millis < UNREACHABLE_MILLIS) millis * SPORADIC_SHARE else millis
        scores[target] = Score(run, minOf(before + cost, MOST_MILLIS), now)
    }

    /** Records a whole answer. */
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
        /** Cost in ms of a target that can't be reached. */
        const val UNREACHABLE_MILLIS = 6_000.0

        /** Cost in ms of a target that fell silent or broke off. */
        const val BROKEN_MILLIS = 3_000.0

        /** Cost in ms of a target's own failure. */
        const val FAILED_MILLIS = 1_200.0

        /** Cost in ms of a target that is full. */
        const val REJECTED_MILLIS = 400.0

        private const val HALF = 0.5

        /** Milliseconds in which a score halves: short beside the time for which targets stay away. */
        private const val HALF_LIFE_MILLIS = 1_500.0

        /** Milliseconds for which an answer shows that a target works: a few requests of one daemon to it. */
        private const val RECENT_ANSWER_MILLIS = 3_000L

        /** Share of a failure's cost that counts at a target that answers others. */
        private const val SPORADIC_SHARE = 0.15
        private const val SUCCESS_FACTOR = 0.6
        private const val NEGLIGIBLE_MILLIS = 10.0
        private const val MOST_MILLIS = 20_000.0
    }
}

/** Adds what [end] says about [target]. */
internal fun TargetHealth.record(
    target: Target,
    end: AttemptEnd,
    now: MonotonicTime,
) {
    val cost =
        when (end) {
            AttemptEnd.NotSent -> TargetHealth.UNREACHABLE_MILLIS
            is AttemptEnd.Broken, AttemptEnd.TimedOut -> TargetHealth.BROKEN_MILLIS
            is AttemptEnd.Rejected -> TargetHealth.REJECTED_MILLIS
            is AttemptEnd.Answered -> if (end.status >= SERVER_ERROR_STATUS) TargetHealth.FAILED_MILLIS else 0.0
        }
    if (cost > 0) recordFailure(target.id, target.incarnation, cost, now) else recordSuccess(target.id, target.incarnation, now)
}

private const val SERVER_ERROR_STATUS = 500
