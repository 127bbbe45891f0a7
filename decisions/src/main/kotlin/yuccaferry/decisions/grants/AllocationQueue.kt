/*
 * Queue of the grant requests that wait for capacity on one target, by priority and, within a priority, by
 * start-time fair queueing over accounts: start tags of an account's requests are spaced by their cost divided
 * by the account's weight, so that an account with many requests does not delay one with few.
 */
package yuccaferry.decisions.grants

import yuccaferry.model.AccountName
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId

/** Fixed part of a request's cost, so that requests without a prompt also have one. */
private const val BASE_COST_TOKENS = 100L

internal class WaitingRequest(
    val request: AllocationRequest,
    val queuedAt: MonotonicTime,
    val waitUntil: MonotonicTime,
    val startTag: Long,
    val sequence: Long,
)

internal class AllocationQueue {
    private val waiting = mutableListOf<WaitingRequest>()
    private val finishTags = mutableMapOf<AccountName, Long>()
    private var virtualTime = 0L
    private var sequence = 0L

    val size: Int get() = waiting.size

    fun add(
        request: AllocationRequest,
        now: MonotonicTime,
        waitUntil: MonotonicTime,
    ) {
        val start = maxOf(virtualTime, finishTags[request.account] ?: 0L)
        finishTags[request.account] = start + (request.prefillTokens + BASE_COST_TOKENS) / maxOf(1, request.weight)
        val entry = WaitingRequest(request, now, waitUntil, start, sequence++)
        val at = waiting.indexOfFirst { ORDER.compare(entry, it) < 0 }
        if (at < 0) waiting += entry else waiting.add(at, entry)
    }

    /** Returns the waiting requests in the order in which they are served. */
    fun inOrder(): List<WaitingRequest> = waiting.toList()

    fun remove(id: RequestId): WaitingRequest? {
        val at = waiting.indexOfFirst { it.request.id == id }
        return if (at < 0) null else waiting.removeAt(at)
    }

    /** Removes [entry], which is served now, and advances the virtual time. */
    fun serve(entry: WaitingRequest) {
        waiting.remove(entry)
        virtualTime = maxOf(virtualTime, entry.startTag)
        removeIdleAccounts()
    }

    fun clear() = waiting.clear()

    private fun removeIdleAccounts() {
        finishTags.values.removeAll { it <= virtualTime }
    }

    private companion object {
        val ORDER: Comparator<WaitingRequest> = compareBy({ it.request.priority }, { it.startTag }, { it.sequence })
    }
}
