// Scores each target by its recent answers and failures.
package yuccaferry.decisions.dispatch

import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.math.pow

/** Scores of targets by failures and late first events, which decay with a fixed half-life; not thread-safe. */
class TargetHealth {
    private val failures = HashMap<TargetId, Score>()
    private val lateness = HashMap<TargetId, Score>()
    private val answers = HashMap<TargetId, MonotonicTime>()

    /** Returns the milliseconds to add to predicted times at [target]; zero if no failure of this [run] is recorded. */
    fun penaltyMillis(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ): Double {
        val value = (failures[target]?.of(run, now) ?: 0.0) + (lateness[target]?.of(run, now) ?: 0.0)
        return if (value < NEGLIGIBLE_MILLIS) 0.0 else value
    }

    /** Returns the targets that recently failed so that hardly any request may be sent there. */
    fun failing(now: MonotonicTime): List<TargetId> =
        failures.filter { (_, score) -> score.of(score.run, now) >= FAILING_MILLIS }.map { it.key }

    /** Returns the highest penalties, to be reported to peers. */
    fun reportable(now: MonotonicTime): List<TargetPenalty> =
        (lateness + failures)
            .map { (target, score) -> TargetPenalty(target, score.run, penaltyMillis(target, score.run, now)) }
            .filter { it.millis >= REPORTABLE_MILLIS }
            .sortedByDescending { it.millis }
            .take(PeerReports.MAX_PENALTIES)

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
        val before = failures[target]?.of(run, now) ?: 0.0
        val answered = answers[target]
        val answersOthers = answered != null && now - answered < RECENT_ANSWER_MILLIS
        val penalty = if (answersOthers && millis < UNREACHABLE_MILLIS) millis * SPORADIC_SHARE else millis
        failures[target] = Score(run, minOf(before + penalty, MAX_PENALTY_MILLIS), now, FAILURE_HALF_LIFE_MILLIS)
    }

    /** Records a complete answer, which reduces the penalty of this [run]. */
    fun recordSuccess(
        target: TargetId,
        run: Incarnation,
        now: MonotonicTime,
    ) {
        answers[target] = now
        if (answers.size > MAX_REMEMBERED) forgetOld(now)
        val before = failures[target]?.takeIf { it.run == run } ?: return
        val value = before.of(run, now) * SUCCESS_FACTOR
        if (value < NEGLIGIBLE_MILLIS) failures -= target else failures[target] = Score(run, value, now, FAILURE_HALF_LIFE_MILLIS)
    }

    /**
     * Records that the first event came [observedMillis] after the request, [predictedMillis] having been predicted. What exceeds the
     * usual error of predictions counts as a penalty, so that slow engines receive less work until they answer in time again. An engine
     * whose own [load] explains the delay is not slow; its load keeps work away from it for as long as it lasts.
     */
    fun recordFirstEvent(
        target: TargetId,
        run: Incarnation,
        predictedMillis: Double,
        observedMillis: Double,
        now: MonotonicTime,
        load: ReportedLoad? = null,
    ) {
        val excess = excessMillis(predictedMillis, observedMillis)
        if (excess <= 0) {
            lateness -= target
            return
        }
        if (load?.isBusy == true) return
        val before = lateness[target]?.of(run, now) ?: 0.0
        lateness[target] = Score(run, minOf(before + excess, MAX_LATENESS_MILLIS), now, LATENESS_HALF_LIFE_MILLIS)
    }

    /** Drops what no longer has an effect; targets that have left are never mentioned again. */
    private fun forgetOld(now: MonotonicTime) {
        answers.values.removeIf { now - it >= RECENT_ANSWER_MILLIS }
        listOf(failures, lateness).forEach { scores -> scores.values.removeIf { it.of(it.run, now) < NEGLIGIBLE_MILLIS } }
    }

    private class Score(
        val run: Incarnation,
        private val millis: Double,
        private val since: MonotonicTime,
        private val halfLifeMillis: Double,
    ) {
        /** Returns the current value if the score is of [run], otherwise zero. */
        fun of(
            run: Incarnation,
            now: MonotonicTime,
        ): Double = if (run == this.run) millis * HALF.pow((now - since) / halfLifeMillis) else 0.0
    }

    companion object {
        /** Returns whether a first event after [observedMillis] came later than by the usual error of a prediction of [predictedMillis]. */
        fun isLate(
            predictedMillis: Double,
            observedMillis: Double,
        ): Boolean = excessMillis(predictedMillis, observedMillis) > 0

        private fun excessMillis(
            predictedMillis: Double,
            observedMillis: Double,
        ) = observedMillis - predictedMillis * USUAL_ERROR_FACTOR - USUAL_ERROR_MILLIS

        /** Penalty in ms of a target that can't be reached. */
        const val UNREACHABLE_MILLIS = 6_000.0

        /** Penalty in ms of a target whose answer timed out or broke off. */
        const val BROKEN_MILLIS = 3_000.0

        /** Penalty in ms of a target that answered with a server error. */
        const val FAILED_MILLIS = 1_200.0

        /** Penalty in ms of a target that rejects a request without running it, for example because it is full. */
        const val REJECTED_MILLIS = 400.0

        /** Multiple of a predicted time, and milliseconds beyond it, by which first events are late at engines in good order. */
        private const val USUAL_ERROR_FACTOR = 2.0
        private const val USUAL_ERROR_MILLIS = 100.0

        private const val HALF = 0.5

        /** Half-life of a failure's score in ms: short compared with the time for which failed targets stay unavailable. */
        private const val FAILURE_HALF_LIFE_MILLIS = 1_500.0

        /** Half-life of a late event's score in ms: time for several requests, of which one tries the target again. */
        private const val LATENESS_HALF_LIFE_MILLIS = 4_000.0

        /** Highest score by late events, so that a target that has recovered is tried again within some half-lives. */
        private const val MAX_LATENESS_MILLIS = 1_000.0

        /** Milliseconds for which an answer shows that a target works: time for a few requests of one daemon to it. */
        private const val RECENT_ANSWER_MILLIS = 3_000L

        /** Share of a failure's penalty that counts at a target that recently answered. */
        private const val SPORADIC_SHARE = 0.15

        /** Penalty above which a target counts as failing: that of one that could not be reached a half-life ago. */
        private const val FAILING_MILLIS = 3_000.0

        /** Smallest penalty that is reported to peers. */
        private const val REPORTABLE_MILLIS = 150.0

        /** Targets whose answers are remembered before old ones are dropped. */
        private const val MAX_REMEMBERED = 1_024
        private const val SUCCESS_FACTOR = 0.6
        private const val NEGLIGIBLE_MILLIS = 10.0
        private const val MAX_PENALTY_MILLIS = 20_000.0
    }
}
