// What daemons tell each other about prompts that crash targets.
package yuccaferry.decisions.quarantine

import yuccaferry.model.Incarnation
import yuccaferry.model.PromptPart
import yuccaferry.model.TargetId

/** A run of a target that crashed. */
data class CrashedRun(
    val target: TargetId,
    val run: Incarnation,
)

/**
 * A crash while a prompt with [parts] was about to be answered; the last part of the prompt, which is its own, is not among them.
 *
 * @property depths position of each part in its prompt.
 */
data class PromptCrash(
    val run: CrashedRun,
    val parts: List<PromptPart>,
    val depths: List<Int> = parts.indices.toList(),
) {
    /** Returns crashes of the same run with [maxParts] of the parts at most, and all of them together. */
    internal fun split(maxParts: Int): List<PromptCrash> =
        parts.indices.chunked(maxParts).map { PromptCrash(run, parts.slice(it), depths.slice(it)) }
}

/** A [part] and the time in [millis] since what is reported of it. */
data class PartAge(
    val part: PromptPart,
    val millis: Long,
)

/**
 * The report of one daemon.
 *
 * @property crashes recent crashes that it saw itself.
 * @property answered suspected parts that it knows of answers, with the time since the last.
 * @property quarantined quarantined parts, with the time since they are.
 */
data class QuarantineReport(
    val crashes: List<PromptCrash>,
    val answered: List<PartAge>,
    val quarantined: List<PartAge>,
) {
    /** Whether there is nothing to report. */
    val isEmpty: Boolean get() = crashes.isEmpty() && answered.isEmpty() && quarantined.isEmpty()

    /** Returns reports with [maxParts] parts at most, and all of this one together. */
    fun split(maxParts: Int): List<QuarantineReport> {
        val reports = mutableListOf<QuarantineReport>()
        var last = EMPTY
        var count = 0

        fun add(
            parts: Int,
            extend: (QuarantineReport) -> QuarantineReport,
        ) {
            if (count + parts > maxParts) {
                reports += last
                last = EMPTY
                count = 0
            }
            last = extend(last)
            count += parts
        }
        crashes.flatMap { it.split(maxParts) }.forEach { crash -> add(crash.parts.size) { it.copy(crashes = it.crashes + crash) } }
        answered.forEach { part -> add(1) { it.copy(answered = it.answered + part) } }
        quarantined.forEach { part -> add(1) { it.copy(quarantined = it.quarantined + part) } }
        return if (last.isEmpty) reports else reports + last
    }

    companion object {
        /** Most crashes in a report. */
        const val MAX_CRASHES = 8

        /** Most parts in a report's lists of parts: more than the head of a request can hold. */
        const val MAX_PARTS = 2_048

        private val EMPTY = QuarantineReport(emptyList(), emptyList(), emptyList())
    }
}

/** A change of the quarantine. */
sealed interface QuarantineChange {
    val part: PromptPart

    /** [part] is quarantined, because [crashes] targets crashed under it. */
    data class Began(
        override val part: PromptPart,
        val crashes: Int,
    ) : QuarantineChange

    /** [part] is quarantined, because a peer reports that it is. */
    data class Adopted(
        override val part: PromptPart,
    ) : QuarantineChange

    /** [part] is no longer quarantined; it [isSound], or no prompt with it came for long. */
    data class Ended(
        override val part: PromptPart,
        val isSound: Boolean,
    ) : QuarantineChange
}
