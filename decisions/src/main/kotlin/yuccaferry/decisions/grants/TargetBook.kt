/*
 * The book of one target at its decider: what was granted, what waits, and what the target bears. All grants for
 * the target come from here, so that requests and memory stay within its limits whoever asks.
 */
package yuccaferry.decisions.grants

import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** An ask that has waited this long is not overtaken any more by large ones that would fit before it. */
private const val OVERTAKING_MILLIS = 3_000L

/** Work is small when it takes at most this part of a target's memory. */
private const val SMALL_PARTS = 50

/** A grant that the target does not list this long after it was given has ended. */
private const val UNLISTED_MILLIS = 5_000L

/** Shortest and longest time without grants after a target failed. */
private const val FIRST_PAUSE_MILLIS = 100L
private const val LONGEST_PAUSE_MILLIS = 1_000L

/** An observation older than this says nothing about the target. */
private const val OBSERVATION_MILLIS = 5_000L

/** One piece of work that holds a part of a target. */
internal data class BookEntry(
    val request: RequestId,
    val owner: DaemonId,
    val holdTokens: Long,
    val prefillTokens: Long,
    val long: Boolean,
    val given: MonotonicTime,
    val until: MonotonicTime,
    val listed: Boolean = false,
    val ended: MonotonicTime? = null,
)

/** Grants of one target; not thread-safe. */
class TargetBook(
    private val target: TargetId,
    private val limits: TargetLimits,
    private val windowMillis: Long,
) {
    private val entries = linkedMapOf<RequestId, BookEntry>()
    private val queue = AskQueue()
    private val limit = RequestLimit(limits.coldRequests, limits.warmRequests, limits.observable)
    private var inService = true
    private var observed: MonotonicTime? = null
    private var pausedUntil = MonotonicTime(Long.MIN_VALUE)
    private var pauseMillis = FIRST_PAUSE_MILLIS

    private val heldTokens get() = entries.values.sumOf { it.holdTokens }
    private val longPrefills get() = entries.values.count { it.long && it.prefillTokens > 0 }

    /** Answers [ask] now or puts it in the queue until [until]. Repeating an ask that was given renews its grant. */
    fun ask(
        ask: Ask,
        now: MonotonicTime,
        until: MonotonicTime,
    ): List<GrantEffect> {
        entries[ask.request]?.let { return renew(it, now) }
        denialOf(ask, now)?.let { return listOf(GrantEffect.Deny(ask.request, it)) }
        queue.add(ask, now, until)
        return serve(now)
    }

    private fun renew(
        entry: BookEntry,
        now: MonotonicTime,
    ): List<GrantEffect> {
        if (!inService) return listOf(GrantEffect.Deny(entry.request, Denial.NOT_IN_SERVICE))
        if (!entry.listed) entries[entry.request] = entry.copy(given = now)
        return listOf(GrantEffect.Give(entry.request))
    }

    /** Takes an ask out of the queue. */
    fun withdraw(request: RequestId) {
        queue.remove(request)
    }

    /**
     * Records the end of the use of a grant. Work that failed may still hold its part of a target that lists its work;
     * it counts until the target is seen without it.
     */
    fun release(
        request: RequestId,
        outcome: UseOutcome,
        now: MonotonicTime,
    ): List<GrantEffect> {
        val entry = entries[request] ?: return emptyList()
        when (outcome) {
            UseOutcome.SUCCEEDED -> {
                entries.remove(request)
                succeeded()
            }

            UseOutcome.UNUSED, UseOutcome.CANCELLED -> {
                entries.remove(request)
            }

            UseOutcome.TARGET_FAILED -> {
                if (limits.observable) entries[request] = entry.copy(ended = now) else entries.remove(request)
                failed(now)
            }
        }
        return serve(now)
    }

    /** Records what the target listed in answer to a question that was sent at [asked]. */
    fun observe(
        observation: Observation,
        asked: MonotonicTime,
        now: MonotonicTime,
    ): List<GrantEffect> {
        observed = asked
        limit.observe(observation.incarnation, observation.warm)
        val listed = observation.work.associateBy { it.request }
        entries.values.removeAll { it.request !in listed && hasEnded(it, asked) }
        listed.values.forEach { merge(it, now) }
        return serve(now)
    }

    /** Records that the target could not be asked: nothing is granted until it answers again. */
    fun unreachable() {
        observed = null
    }

    /** Says whether the target may be given new work; work in progress goes on. */
    fun setInService(value: Boolean): List<GrantEffect> {
        inService = value
        return if (value) emptyList() else denyAll(Denial.NOT_IN_SERVICE)
    }

    /** Refuses all that waits, as when this process stops deciding. */
    fun denyAll(denial: Denial): List<GrantEffect> {
        val effects = queue.inOrder().map { GrantEffect.Deny(it.ask.request, denial) }
        queue.clear()
        return effects
    }

    /** Ends waits and grants whose time is over. */
    fun tick(now: MonotonicTime): List<GrantEffect> {
        entries.values.removeAll { it.until <= now }
        val late = queue.inOrder().filter { it.until <= now }
        late.forEach { queue.remove(it.ask.request) }
        return late.map { GrantEffect.Deny(it.ask.request, Denial.FULL) } + serve(now)
    }

    /** The state of the target in short. */
    fun summary(now: MonotonicTime) =
        TargetSummary(
            target = target,
            running = entries.size,
            waiting = queue.size,
            room = if (isAvailable(now)) maxOf(0, limit.current - entries.size) else 0,
            heldTokens = heldTokens,
            prefillTokens = entries.values.sumOf { it.prefillTokens } + queue.inOrder().sumOf { it.ask.prefillTokens },
            longPrefills = longPrefills,
            warm = limit.warm,
            open = inService && isAvailable(now),
        )

    /** The grants in force, for the next decider. */
    fun export(now: MonotonicTime): List<TransferredGrant> =
        entries.values.map {
            TransferredGrant(it.request, it.owner, it.holdTokens, it.prefillTokens, it.long, now - it.given, it.until - now)
        }

    /** Takes over grants from the previous decider. */
    fun import(
        grants: List<TransferredGrant>,
        now: MonotonicTime,
    ) {
        for (grant in grants) {
            entries[grant.request] =
                BookEntry(
                    request = grant.request,
                    owner = grant.owner,
                    holdTokens = grant.holdTokens,
                    prefillTokens = grant.prefillTokens,
                    long = grant.long,
                    given = now + -grant.ageMillis,
                    until = now + grant.timeLeftMillis,
                )
        }
    }

    private fun denialOf(
        ask: Ask,
        now: MonotonicTime,
    ): Denial? =
        when {
            !inService -> Denial.NOT_IN_SERVICE
            ask.holdTokens > limits.kvTokens -> Denial.TOO_LARGE
            !isAvailable(now) -> Denial.UNAVAILABLE
            else -> null
        }

    private fun isAvailable(now: MonotonicTime): Boolean {
        if (now < pausedUntil) return false
        if (!limits.observable) return true
        val last = observed ?: return false
        return now - last <= OBSERVATION_MILLIS
    }

    /**
     * Gives what fits: first to asks that have waited long, then in the queue's order. While one that has waited long does
     * not fit, memory is kept for it: only small work passes it, and only as much as leaves it room.
     */
    private fun serve(now: MonotonicTime): List<GrantEffect> {
        if (!inService || !isAvailable(now)) return emptyList()
        val given = mutableListOf<GrantEffect>()
        val (overdue, others) = queue.inOrder().partition { now - it.since > OVERTAKING_MILLIS }
        var reserved = 0L
        for (waiting in overdue.sortedBy { it.since } + others) {
            if (entries.size >= limit.current) break
            if (fits(waiting.ask) && (reserved == 0L || passes(waiting.ask, reserved))) {
                give(waiting, now)
                given += GrantEffect.Give(waiting.ask.request)
            } else if (reserved == 0L && now - waiting.since > OVERTAKING_MILLIS) {
                reserved = waiting.ask.holdTokens
            }
        }
        return given
    }

    /** Whether [ask] is small and leaves [reserved] tokens once all work that is not small has ended. */
    private fun passes(
        ask: Ask,
        reserved: Long,
    ): Boolean {
        val small = limits.kvTokens / SMALL_PARTS
        val heldBySmall = entries.values.filter { it.holdTokens <= small }.sumOf { it.holdTokens }
        return ask.holdTokens <= small && heldBySmall + ask.holdTokens + reserved <= limits.kvTokens
    }

    private fun fits(ask: Ask) =
        limits.kvTokens - heldTokens >= ask.holdTokens &&
            (!ask.long || longPrefills < limits.longPrefills)

    private fun give(
        waiting: WaitingAsk,
        now: MonotonicTime,
    ) {
        val ask = waiting.ask
        queue.serve(waiting)
        val until = waiting.since + (ask.timeLeftMillis + windowMillis)
        entries[ask.request] =
            BookEntry(ask.request, ask.owner, ask.holdTokens, ask.prefillTokens, ask.long, given = now, until = until)
    }

    /** Whether [entry], which the target did not list when it was asked at [asked], holds nothing any more. */
    private fun hasEnded(
        entry: BookEntry,
        asked: MonotonicTime,
    ): Boolean {
        if (entry.ended != null) return asked >= entry.ended
        if (asked <= entry.given) return false
        return entry.listed || asked - entry.given > UNLISTED_MILLIS
    }

    private fun merge(
        work: ObservedWork,
        now: MonotonicTime,
    ) {
        val entry = entries[work.request]
        entries[work.request] =
            entry?.copy(
                holdTokens = maxOf(entry.holdTokens, work.holdTokens),
                prefillTokens = work.prefillTokensLeft,
                listed = true,
            ) ?: BookEntry(
                request = work.request,
                owner = work.owner,
                holdTokens = work.holdTokens,
                prefillTokens = work.prefillTokensLeft,
                long = false,
                given = now,
                until = now + (work.timeLeftMillis + windowMillis),
                listed = true,
            )
    }

    private fun succeeded() {
        limit.succeeded()
        pauseMillis = FIRST_PAUSE_MILLIS
    }

    private fun failed(now: MonotonicTime) {
        limit.failed()
        observed = null
        pausedUntil = now + pauseMillis
        pauseMillis = minOf(LONGEST_PAUSE_MILLIS, pauseMillis * 2)
    }
}
