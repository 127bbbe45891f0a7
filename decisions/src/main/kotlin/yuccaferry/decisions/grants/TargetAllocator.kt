/*
 * Allocates one target at its decider: holds the grants, the queue and the limits of the target. The decider makes all
 * grants of the target, so that requests and memory stay within its limits across all daemons.
 */
package yuccaferry.decisions.grants

import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** Wait after which a request is overdue: others that are not small can no longer overtake it. */
private const val OVERDUE_MILLIS = 3_000L

/** Work is small when it takes at most one part in this many of a target's memory. */
private const val SMALL_WORK_DIVISOR = 50

/** Age at which a grant that the target does not list counts as ended. */
private const val UNLISTED_GRANT_MILLIS = 5_000L

/** Shortest and longest time without grants after a target failed. */
private const val MIN_PAUSE_MILLIS = 100L
private const val MAX_PAUSE_MILLIS = 1_000L

/** Age beyond which an observation no longer counts. */
private const val MAX_OBSERVATION_AGE_MILLIS = 5_000L

/** Part of a target that one request holds, from its grant on. */
internal data class Allocation(
    val request: RequestId,
    val owner: DaemonId,
    val holdTokens: Long,
    val prefillTokens: Long,
    val long: Boolean,
    val grantedAt: MonotonicTime,
    val expiresAt: MonotonicTime,
    val listed: Boolean = false,
    val endedAt: MonotonicTime? = null,
)

/**
 * Grants of one target; not thread-safe. Functions that return effects return all decisions that they cause, also those on
 * other requests.
 *
 * @param windowMillis grant window, within which an owner may start its work; a grant expires this long after its request's deadline.
 */
class TargetAllocator(
    private val target: TargetId,
    private val limits: TargetLimits,
    private val windowMillis: Long,
) {
    private val allocations = linkedMapOf<RequestId, Allocation>()
    private val queue = AllocationQueue()
    private val limit = RequestLimit(limits.coldRequests, limits.warmRequests, limits.observable)
    private var inService = true
    private var observedAt: MonotonicTime? = null
    private var pausedUntil = MonotonicTime(Long.MIN_VALUE)
    private var pauseMillis = MIN_PAUSE_MILLIS

    private val heldTokens get() = allocations.values.sumOf { it.holdTokens }
    private val longPrefills get() = allocations.values.count { it.long && it.prefillTokens > 0 }

    /** Answers [request] now or queues it until [until]. A repeated request that has a grant renews it. */
    fun request(
        request: AllocationRequest,
        now: MonotonicTime,
        until: MonotonicTime,
    ): List<GrantEffect> {
        allocations[request.id]?.let { return renew(it, now) }
        denialOf(request, now)?.let { return listOf(GrantEffect.Deny(request.id, it)) }
        queue.add(request, now, until)
        return serve(now)
    }

    private fun renew(
        allocation: Allocation,
        now: MonotonicTime,
    ): List<GrantEffect> {
        if (!inService) return listOf(GrantEffect.Deny(allocation.request, Denial.NOT_IN_SERVICE))
        if (!allocation.listed) allocations[allocation.request] = allocation.copy(grantedAt = now)
        return listOf(GrantEffect.Grant(allocation.request))
    }

    /** Removes [request] from the queue. */
    fun withdraw(request: RequestId) {
        queue.remove(request)
    }

    /**
     * Records the end of the use of a grant. On a target that lists its work, failed work may still hold its part, so it
     * counts until the target no longer lists it.
     */
    fun release(
        request: RequestId,
        outcome: UseOutcome,
        now: MonotonicTime,
    ): List<GrantEffect> {
        val allocation = allocations[request] ?: return emptyList()
        when (outcome) {
            UseOutcome.SUCCEEDED -> {
                allocations.remove(request)
                succeeded()
            }

            UseOutcome.UNUSED, UseOutcome.CANCELLED -> {
                allocations.remove(request)
            }

            UseOutcome.TARGET_FAILED -> {
                if (limits.observable) allocations[request] = allocation.copy(endedAt = now) else allocations.remove(request)
                failed(now)
            }
        }
        return serve(now)
    }

    /** Records what the target listed in answer to a query that was sent at [queriedAt]. */
    fun observe(
        observation: Observation,
        queriedAt: MonotonicTime,
        now: MonotonicTime,
    ): List<GrantEffect> {
        observedAt = queriedAt
        limit.observe(observation.incarnation, observation.warm)
        val listed = observation.work.associateBy { it.request }
        allocations.values.removeAll { it.request !in listed && hasEnded(it, queriedAt) }
        listed.values.forEach { merge(it, now) }
        return serve(now)
    }

    /** Records that the target could not be queried: nothing is granted until it answers again. */
    fun unreachable() {
        observedAt = null
    }

    /** Sets whether the target may be given new work, and denies the queued requests if not; work in progress goes on. */
    fun setInService(value: Boolean): List<GrantEffect> {
        inService = value
        return if (value) emptyList() else denyAll(Denial.NOT_IN_SERVICE)
    }

    /** Denies all queued requests, for example when this daemon stops being the target's decider. */
    fun denyAll(denial: Denial): List<GrantEffect> {
        val effects = queue.inOrder().map { GrantEffect.Deny(it.request.id, denial) }
        queue.clear()
        return effects
    }

    /** Denies queued requests whose wait is over, removes expired grants, and grants what fits then. */
    fun tick(now: MonotonicTime): List<GrantEffect> {
        allocations.values.removeAll { it.expiresAt <= now }
        val expired = queue.inOrder().filter { it.waitUntil <= now }
        expired.forEach { queue.remove(it.request.id) }
        return expired.map { GrantEffect.Deny(it.request.id, Denial.FULL) } + serve(now)
    }

    /** Returns a summary of the target's state. */
    fun summary(now: MonotonicTime) =
        TargetSummary(
            target = target,
            running = allocations.size,
            waiting = queue.size,
            room = if (isAvailable(now)) maxOf(0, limit.current - allocations.size) else 0,
            heldTokens = heldTokens,
            prefillTokens = allocations.values.sumOf { it.prefillTokens } + queue.inOrder().sumOf { it.request.prefillTokens },
            longPrefills = longPrefills,
            warm = limit.warm,
            open = inService && isAvailable(now),
        )

    /** Returns the grants in force, for the next decider. */
    fun export(now: MonotonicTime): List<TransferredGrant> =
        allocations.values.map {
            TransferredGrant(it.request, it.owner, it.holdTokens, it.prefillTokens, it.long, now - it.grantedAt, it.expiresAt - now)
        }

    /** Takes over grants from the previous decider. */
    fun import(
        grants: List<TransferredGrant>,
        now: MonotonicTime,
    ) {
        for (grant in grants) {
            allocations[grant.request] =
                Allocation(
                    request = grant.request,
                    owner = grant.owner,
                    holdTokens = grant.holdTokens,
                    prefillTokens = grant.prefillTokens,
                    long = grant.long,
                    grantedAt = now + -grant.ageMillis,
                    expiresAt = now + grant.timeLeftMillis,
                )
        }
    }

    private fun denialOf(
        request: AllocationRequest,
        now: MonotonicTime,
    ): Denial? =
        when {
            !inService -> Denial.NOT_IN_SERVICE
            request.holdTokens > limits.kvTokens -> Denial.TOO_LARGE
            !isAvailable(now) -> Denial.UNAVAILABLE
            else -> null
        }

    private fun isAvailable(now: MonotonicTime): Boolean {
        if (now < pausedUntil) return false
        if (!limits.observable) return true
        val last = observedAt ?: return false
        return now - last <= MAX_OBSERVATION_AGE_MILLIS
    }

    /**
     * Grants the requests that fit: overdue ones first, then the others in the queue's order. While an overdue request does
     * not fit, memory is reserved for it: only small work may overtake it, and only as much as leaves that memory free.
     */
    private fun serve(now: MonotonicTime): List<GrantEffect> {
        if (!inService || !isAvailable(now)) return emptyList()
        val granted = mutableListOf<GrantEffect>()
        val (overdue, others) = queue.inOrder().partition { now - it.queuedAt > OVERDUE_MILLIS }
        var reserved = 0L
        for (waiting in overdue.sortedBy { it.queuedAt } + others) {
            if (allocations.size >= limit.current) break
            if (fits(waiting.request) && (reserved == 0L || mayOvertake(waiting.request, reserved))) {
                grant(waiting, now)
                granted += GrantEffect.Grant(waiting.request.id)
            } else if (reserved == 0L && now - waiting.queuedAt > OVERDUE_MILLIS) {
                reserved = waiting.request.holdTokens
            }
        }
        return granted
    }

    /** Returns whether [request] is small and leaves [reserved] tokens free once all work that is not small has ended. */
    private fun mayOvertake(
        request: AllocationRequest,
        reserved: Long,
    ): Boolean {
        val small = limits.kvTokens / SMALL_WORK_DIVISOR
        val heldBySmall = allocations.values.filter { it.holdTokens <= small }.sumOf { it.holdTokens }
        return request.holdTokens <= small && heldBySmall + request.holdTokens + reserved <= limits.kvTokens
    }

    private fun fits(request: AllocationRequest) =
        limits.kvTokens - heldTokens >= request.holdTokens &&
            (!request.long || longPrefills < limits.longPrefills)

    private fun grant(
        waiting: WaitingRequest,
        now: MonotonicTime,
    ) {
        val request = waiting.request
        queue.serve(waiting)
        val expiresAt = waiting.queuedAt + (request.timeLeftMillis + windowMillis)
        allocations[request.id] =
            Allocation(
                request.id,
                request.owner,
                request.holdTokens,
                request.prefillTokens,
                request.long,
                grantedAt = now,
                expiresAt = expiresAt,
            )
    }

    /** Returns whether [allocation], which the target did not list in answer to the query sent at [queriedAt], has ended. */
    private fun hasEnded(
        allocation: Allocation,
        queriedAt: MonotonicTime,
    ): Boolean {
        if (allocation.endedAt != null) return queriedAt >= allocation.endedAt
        if (queriedAt <= allocation.grantedAt) return false
        return allocation.listed || queriedAt - allocation.grantedAt > UNLISTED_GRANT_MILLIS
    }

    private fun merge(
        work: ObservedWork,
        now: MonotonicTime,
    ) {
        val allocation = allocations[work.request]
        allocations[work.request] =
            allocation?.copy(
                holdTokens = maxOf(allocation.holdTokens, work.holdTokens),
                prefillTokens = work.prefillTokensLeft,
                listed = true,
            ) ?: Allocation(
                request = work.request,
                owner = work.owner,
                holdTokens = work.holdTokens,
                prefillTokens = work.prefillTokensLeft,
                long = false,
                grantedAt = now,
                expiresAt = now + (work.timeLeftMillis + windowMillis),
                listed = true,
            )
    }

    private fun succeeded() {
        limit.succeeded()
        pauseMillis = MIN_PAUSE_MILLIS
    }

    private fun failed(now: MonotonicTime) {
        limit.failed()
        observedAt = null
        pausedUntil = now + pauseMillis
        pauseMillis = minOf(MAX_PAUSE_MILLIS, pauseMillis * 2)
    }
}
