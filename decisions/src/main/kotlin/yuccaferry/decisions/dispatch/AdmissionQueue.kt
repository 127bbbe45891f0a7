/*
 * Order in which the requests that wait at one daemon are tried: by urgency, which grows with the time waited, then those that can still be
 * on time before the others, and among these the one whose time ends first. Every second admission goes to the client account that was
 * admitted least often, so that an account with many requests doesn't keep out the others, and still gets at least half of what the order
 * alone would give it.
 */
package yuccaferry.decisions.dispatch

import yuccaferry.decisions.routing.Urgency
import yuccaferry.model.AccountName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId

/**
 * A request that waits for a place.
 *
 * @property onTimeUntil latest start at which its first event can be on time.
 * @property servableUntil latest start at which its first event can arrive before its deadline.
 */
class WaitingRequest(
    val id: RequestId,
    val urgency: Urgency,
    val account: AccountName?,
    val arrival: MonotonicTime,
    val onTimeUntil: MonotonicTime,
    val servableUntil: MonotonicTime,
    val deadline: MonotonicTime,
) {
    /** Returns the level of urgency at [now], see [Urgency.agedLevel]. */
    fun levelAt(now: MonotonicTime): Int = urgency.agedLevel(now - arrival, deadline - arrival)
}

/** The requests that wait at one daemon; not thread-safe. */
class AdmissionQueue {
    private val waiting = LinkedHashSet<WaitingRequest>()
    private val admissions = HashMap<AccountName?, Double>()
    private var isFairTurn = false

    /** Number of requests that wait. */
    val size: Int get() = waiting.size

    /** Adds [request]. Returns the request that has to leave because too many wait, the last one of the order; otherwise null. */
    fun add(
        request: WaitingRequest,
        now: MonotonicTime,
    ): WaitingRequest? {
        waiting += request
        if (waiting.size <= MAX_WAITING) return null
        return inOrder(now).last().also { remove(it) }
    }

    /** Removes [request] if it waits. */
    fun remove(request: WaitingRequest) {
        waiting -= request
    }

    /** Removes [request], which has found a place, and counts it for its account. */
    fun admit(request: WaitingRequest) {
        remove(request)
        isFairTurn = !isFairTurn
        admissions.merge(request.account, 1.0, Double::plus)
        if (admissions.values.sum() > MAX_REMEMBERED_ADMISSIONS) admissions.replaceAll { _, count -> count / 2 }
        admissions.values.removeIf { it < LEAST_REMEMBERED }
    }

    /** Returns the request to try next; null if none waits. */
    fun first(now: MonotonicTime): WaitingRequest? {
        val first = waiting.minWithOrNull(orderAt(now)) ?: return null
        if (!isFairTurn) return first
        val equals = waiting.filter { classOrder(now).compare(it, first) == 0 }
        return equals.minWithOrNull(compareBy<WaitingRequest> { admissions[it.account] ?: 0.0 }.then(orderAt(now)))
    }

    /** Returns the requests that wait, in the order in which they would be tried if nothing changed. */
    fun inOrder(now: MonotonicTime): List<WaitingRequest> = waiting.sortedWith(orderAt(now))

    /** Returns whether [request] is the next to try, or has waited so long that it is tried wherever it stands. */
    fun isDue(
        request: WaitingRequest,
        now: MonotonicTime,
    ): Boolean = now - request.arrival > (request.deadline - request.arrival) * LONGEST_HOLD_SHARE || first(now) === request

    private fun orderAt(now: MonotonicTime): Comparator<WaitingRequest> =
        classOrder(now).thenBy { if (now <= it.onTimeUntil) it.onTimeUntil else it.servableUntil }.thenBy { it.id.value }

    /** Order between requests of which those that are equal share places by account. */
    private fun classOrder(now: MonotonicTime): Comparator<WaitingRequest> =
        compareBy<WaitingRequest> { it.levelAt(now) }.thenBy { now > it.onTimeUntil }

    private companion object {
        /** Most requests that wait at one daemon; each holds its body in memory. */
        const val MAX_WAITING = 128

        /** Admissions remembered before the counts of all accounts are halved: a few for each of some tens of accounts. */
        const val MAX_REMEMBERED_ADMISSIONS = 128.0

        /** Count below which an account is forgotten. */
        const val LEAST_REMEMBERED = 0.1
    }
}

/** Share of its time for which a request is held behind others: the rest suffices for its answer, or for its caller to come back. */
internal const val LONGEST_HOLD_SHARE = 0.4
