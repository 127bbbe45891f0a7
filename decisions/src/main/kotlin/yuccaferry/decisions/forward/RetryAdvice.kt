/*
 * Decides when a refused caller may return. Callers that are refused in the same moment would return in the same moment and be refused
 * again, so their returns are spread by a hash of the request, which needs no state. Where ranks differ, more urgent callers return first.
 */
package yuccaferry.decisions.forward

import yuccaferry.decisions.routing.Urgency
import yuccaferry.decisions.spreadOf
import yuccaferry.model.RequestId

/**
 * Returns the milliseconds after which the caller of [request] may retry: at least [minMillis] and the [backlogMillis] that are ahead of
 * it, spread over as long again, and never more than the share of its [remainingMillis] that callers wait. The levels of [urgency] return
 * one after the other within the spread.
 */
fun retryAfterMillis(
    request: RequestId?,
    minMillis: Long,
    backlogMillis: Double,
    remainingMillis: Long,
    urgency: Urgency? = null,
): Long {
    // With the largest spread, the caller returns at twice this time.
    val most = remainingMillis * MAX_SHARE_OF_REMAINING / 2
    val base = maxOf(minMillis.toDouble(), minOf(backlogMillis, most))
    val spread = spreadOf(request?.value.orEmpty())
    val position = if (urgency == null) spread else (urgency.level + spread) / urgency.levels
    return (base * (1 + position)).toLong()
}

/** Share of the time left for which callers wait before they retry; those told to wait longer return at this time. */
private const val MAX_SHARE_OF_REMAINING = 1.0 / 3
