/*
 * Decides how long an attempt waits for the first event of a stream. An engine that has stalled is to be replaced while the caller still
 * waits; an engine that is only late is not, because a retry repeats the prefill.
 */
package yuccaferry.decisions.forward

import yuccaferry.decisions.routing.RequestKind
import yuccaferry.decisions.routing.Route

/**
 * Returns the milliseconds after which an attempt on [route] without an event ends, [predictedMillis] being predicted for the first.
 * [answersOthers] tells whether the target has sent anything since the request was sent to it, so that it hasn't stalled.
 */
fun firstEventTimeoutMillis(
    predictedMillis: Long,
    route: Route,
    answersOthers: Boolean = false,
): Long {
    val patient = LONG_TIMEOUT_MILLIS + LONG_TIMEOUT_FACTOR * predictedMillis
    if (answersOthers) return patient
    val early = maxOf(patienceMillis(route) / 2, SHORT_TIMEOUT_MILLIS + SHORT_TIMEOUT_FACTOR * predictedMillis)
    return minOf(patient, early)
}

/** Milliseconds without an event after which callers abandon a stream (a requirement of the users). */
private fun patienceMillis(route: Route): Long {
    val gapMillis =
        when (val kind = route.kind) {
            is RequestKind.Stream -> kind.targetGapMillis
            RequestKind.Safe, RequestKind.Unsafe -> 0
        }
    return maxOf(MIN_PATIENCE_MILLIS, PATIENCE_TARGETS * route.targetLatencyMillis, PATIENCE_GAPS * gapMillis)
}

private const val MIN_PATIENCE_MILLIS = 2_000L
private const val PATIENCE_TARGETS = 4
private const val PATIENCE_GAPS = 8

/** Constant part in ms and multiple of the predicted time, for prompts that callers wait long for. */
private const val LONG_TIMEOUT_MILLIS = 2_000L
private const val LONG_TIMEOUT_FACTOR = 4

/** Least wait for prompts that callers soon abandon: constant part in ms, and multiple of the predicted time. */
private const val SHORT_TIMEOUT_MILLIS = 500L
private const val SHORT_TIMEOUT_FACTOR = 3
