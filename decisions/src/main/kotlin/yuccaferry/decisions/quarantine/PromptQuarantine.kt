/*
 * Finds parts of prompts that crash each target that begins to answer them, and keeps their prompts from further targets. A crash breaks
 * all requests of a target, sound ones too, so it is blamed on a part only if the part was not seen in an answer since, and if no other
 * part explains it. Of several parts that explain the same crashes, the one furthest back in the prompt is blamed: fewer prompts share it.
 */
package yuccaferry.decisions.quarantine

import yuccaferry.model.MonotonicTime
import yuccaferry.model.PromptPart

/** Parts of prompts that crash targets, by the crashes and answers that this daemon and its peers report; not thread-safe. */
class PromptQuarantine {
    private val crashes = LinkedHashMap<CrashedRun, Crash>()
    private val answeredAt = LinkedHashMap<PromptPart, MonotonicTime>()
    private val quarantined = LinkedHashMap<PromptPart, Entry>()

    /** Time of the last crash of a prompt with a part. */
    private val suspectedAt = HashMap<PromptPart, MonotonicTime>()

    /** Time from which on a part may have to be quarantined; null while nothing has happened that would lead to it. */
    private var blameDue: MonotonicTime? = null

    /** Parts taken over from peers since the last update. */
    private val adopted = mutableListOf<QuarantineChange>()

    /** Records a [crash] that this daemon saw at [now]. */
    fun recordCrash(
        crash: PromptCrash,
        now: MonotonicTime,
    ) = add(crash, now, ownAt = now)

    /**
     * Records that a target answered a prompt with [parts] at [now]; returns whether peers should be told at once, because one of the
     * parts is suspected.
     */
    fun recordAnswer(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): Boolean {
        val suspected = parts.filter { isSuspected(it, now) }
        val isNews = suspected.any { part -> answeredAt[part]?.let { now - it >= REPEAT_MILLIS } ?: true }
        parts.forEach { recordAnswer(it, now) }
        return isNews
    }

    private fun recordAnswer(
        part: PromptPart,
        at: MonotonicTime,
    ) {
        val before = answeredAt.remove(part)
        answeredAt[part] = if (before == null) at else maxOf(before, at)
        if (answeredAt.size > MAX_ANSWERED_PARTS) answeredAt.remove(answeredAt.keys.first())
    }

    /** Brings the quarantine up to date; returns what changed. */
    fun update(now: MonotonicTime): List<QuarantineChange> {
        val changes = adopted.toMutableList()
        adopted.clear()
        crashes.values.removeIf { now - it.at >= MEMORY_MILLIS }
        quarantined.entries.removeIf { (part, entry) ->
            val answered = answeredAt[part]
            val isSound = answered != null && answered > entry.since
            if (isSound || now - entry.lastUse >= MEMORY_MILLIS) changes += QuarantineChange.Ended(part, isSound)
            isSound || now - entry.lastUse >= MEMORY_MILLIS
        }
        if (changes.any { it is QuarantineChange.Ended }) blameDue = now
        if (blameDue?.let { it <= now } != true) return changes
        while (true) {
            val blamed = blame(now) ?: break
            quarantine(blamed.part, Entry(since = now, lastUse = now))
            changes += QuarantineChange.Began(blamed.part, blamed.crashes)
        }
        blameDue = crashes.values.filter { now - it.at < SETTLE_MILLIS }.minOfOrNull { it.at + SETTLE_MILLIS }
        return changes
    }

    /** Returns the quarantined part among [parts], if any; a part stays in quarantine while prompts with it arrive. */
    fun find(
        parts: List<PromptPart>,
        now: MonotonicTime,
    ): PromptPart? {
        if (quarantined.isEmpty()) return null
        return parts.firstOrNull { it in quarantined }?.also { quarantined.getValue(it).lastUse = now }
    }

    /** Returns what peers are to be told. */
    fun report(now: MonotonicTime): QuarantineReport {
        val recent = crashes.values.filter { now - it.at < REPORT_MILLIS }
        val own = recent.filter { it.ownAt != null }.map { it.toReport() }.filter { it.parts.isNotEmpty() }
        val suspected = recent.flatMap { it.depths.keys }.toSet() + quarantined.keys
        val answered = suspected.mapNotNull { part -> answeredAt[part]?.let { PartAge(part, now - it) } }
        return QuarantineReport(
            crashes = own.takeLast(QuarantineReport.MAX_CRASHES),
            answered = answered.sortedBy { it.millis }.take(QuarantineReport.MAX_PARTS),
            quarantined = quarantined.map { (part, entry) -> PartAge(part, now - entry.since) }.takeLast(QuarantineReport.MAX_PARTS),
        )
    }

    /** Whether this daemon saw a crash that is still reported to peers. */
    fun sawCrashRecently(now: MonotonicTime): Boolean = crashes.values.any { it.ownAt != null && now - it.at < REPORT_MILLIS }

    /** Returns the crash with those of its parts that may have caused it. */
    private fun Crash.toReport(): PromptCrash {
        val blamable = depths.filterKeys { isBlamable(it, this) }
        return PromptCrash(run, blamable.keys.toList(), blamable.values.toList())
    }

    /** Adds a peer's [report]. */
    fun receive(
        report: QuarantineReport,
        now: MonotonicTime,
    ) {
        report.crashes.take(QuarantineReport.MAX_CRASHES).forEach { add(it, now, ownAt = null) }
        report.answered.take(QuarantineReport.MAX_PARTS).forEach { recordAnswer(it.part, now + -it.millis) }
        for (entry in report.quarantined.take(QuarantineReport.MAX_PARTS)) {
            val since = now + -entry.millis
            val answered = answeredAt[entry.part]
            if (entry.part in quarantined || (answered != null && answered > since)) continue
            quarantine(entry.part, Entry(since, lastUse = now))
            adopted += QuarantineChange.Adopted(entry.part)
        }
    }

    private fun quarantine(
        part: PromptPart,
        entry: Entry,
    ) {
        quarantined[part] = entry
        if (quarantined.size <= MAX_QUARANTINED) return
        quarantined.remove(quarantined.keys.first())
        blameDue = entry.lastUse
    }

    private fun add(
        reported: PromptCrash,
        now: MonotonicTime,
        ownAt: MonotonicTime?,
    ) {
        if (reported.parts.isEmpty()) return
        val crash = crashes.getOrPut(reported.run) { Crash(reported.run, now) }
        if (ownAt != null) crash.ownAt = ownAt
        for ((part, depth) in reported.parts.zip(reported.depths)) {
            crash.depths.merge(part, depth, ::maxOf)
            suspectedAt[part] = crash.at
        }
        blameDue = listOfNotNull(blameDue, crash.at + SETTLE_MILLIS).min()
        forgetOldest(now)
    }

    private fun forgetOldest(now: MonotonicTime) {
        while (crashes.size > MAX_CRASHES || (crashes.size > 1 && crashes.values.sumOf { it.depths.size } > MAX_CRASH_PARTS)) {
            crashes.remove(crashes.keys.first())
        }
        if (suspectedAt.size > MAX_CRASH_PARTS) suspectedAt.values.removeIf { now - it >= REPORT_MILLIS }
    }

    private fun isSuspected(
        part: PromptPart,
        now: MonotonicTime,
    ): Boolean = part in quarantined || suspectedAt[part]?.let { now - it < REPORT_MILLIS } == true

    /** Returns the part to be quarantined next, null if there is none. */
    private fun blame(now: MonotonicTime): Blame? {
        val settled = crashes.values.filter { now - it.at >= SETTLE_MILLIS && !isExplained(it) }
        if (settled.size < MIN_CRASHES) return null
        val times = HashMap<PromptPart, MutableList<MonotonicTime>>()
        val depths = HashMap<PromptPart, Int>()
        for (crash in settled) {
            for ((part, depth) in crash.depths) {
                if (isBlamable(part, crash)) times.getOrPut(part) { mutableListOf() } += crash.at
                depths.merge(part, depth, ::maxOf)
            }
        }
        return times
            .map { (part, crashTimes) -> Blame(part, momentsIn(crashTimes)) }
            .filter { it.crashes >= requiredCrashes(it.part, now) }
            .maxWithOrNull(compareBy({ depths.getValue(it.part) }, { it.crashes }, { it.part.value }))
    }

    /** Returns the number of separate moments in [times]; targets that crash at one moment have another common cause, such as a rack. */
    private fun momentsIn(times: List<MonotonicTime>): Int {
        var count = 0
        var last: MonotonicTime? = null
        for (time in times.sorted()) {
            if (last != null && time - last < MOMENT_MILLIS) continue
            count++
            last = time
        }
        return count
    }

    private fun isExplained(crash: Crash): Boolean = quarantined.keys.any { it in crash.depths }

    private fun isBlamable(
        part: PromptPart,
        crash: Crash,
    ): Boolean = answeredAt[part]?.let { it < crash.at } ?: true

    private fun requiredCrashes(
        part: PromptPart,
        now: MonotonicTime,
    ): Int = if (answeredAt[part]?.let { now - it < MEMORY_MILLIS } == true) MIN_CRASHES_OF_ANSWERED_PART else MIN_CRASHES

    /**
     * One crash, and the parts of the prompts that were about to be answered then with their greatest depths; [ownAt] is null if only peers
     * saw it.
     */
    private class Crash(
        val run: CrashedRun,
        val at: MonotonicTime,
        var ownAt: MonotonicTime? = null,
        val depths: MutableMap<PromptPart, Int> = LinkedHashMap(),
    )

    private class Entry(
        val since: MonotonicTime,
        var lastUse: MonotonicTime,
    )

    private class Blame(
        val part: PromptPart,
        val crashes: Int,
    )

    companion object {
        /** Crashes after which a part is quarantined that was in no answer: fewer than the five that the users accept. */
        const val MIN_CRASHES = 3

        /** Crashes after which a part is quarantined that was in an answer before them: unlikely by chance between two answers. */
        const val MIN_CRASHES_OF_ANSWERED_PART = 6

        /** Milliseconds within which crashes count as one: the differences between daemons in seeing them. */
        const val MOMENT_MILLIS = 100L

        /** Milliseconds until a crash counts: time for peers to report that they saw its parts in answers. */
        const val SETTLE_MILLIS = 100L

        /** Milliseconds for which crashes are reported to peers: several repeats of a message. */
        const val REPORT_MILLIS = 2_000L

        /** Milliseconds after which another answer with a suspected part is reported at once. */
        private const val REPEAT_MILLIS = 300L

        /** Milliseconds for which crashes, and quarantined parts that no longer arrive, are remembered. */
        private const val MEMORY_MILLIS = 1_800_000L

        private const val MAX_CRASHES = 128
        private const val MAX_CRASH_PARTS = 32_768
        private const val MAX_QUARANTINED = 64
        private const val MAX_ANSWERED_PARTS = 16_384
    }
}
