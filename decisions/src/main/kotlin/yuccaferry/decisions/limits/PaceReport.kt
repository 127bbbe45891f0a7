// What daemons tell each other of the concurrency that young and recovered targets are allowed.
package yuccaferry.decisions.limits

import yuccaferry.model.Incarnation
import yuccaferry.model.TargetId

/**
 * Limit of one run of a target as one daemon knows it.
 *
 * @property step number of changes of the limit so far; of two reports the one with the higher step is newer.
 * @property allowed requests of all daemons that the target may have at once; [slots] or more when the limit is lifted.
 * @property slots requests that the target processes concurrently.
 * @property confirmed answers within the predicted time that the reporting daemon itself received in this [step].
 * @property ageMillis time since the last evidence.
 * @property leftMillis time after which the limit is lifted whatever the target does.
 */
data class PaceReport(
    val target: TargetId,
    val run: Incarnation,
    val step: Int,
    val allowed: Int,
    val slots: Int,
    val confirmed: Int,
    val ageMillis: Long,
    val leftMillis: Long,
)

/** Kind of a change of a target's limit. */
enum class PaceChangeKind { STARTED, RAISED, LOWERED, RELEASED }

/** A change of the limit of one [run] of a target to [allowed] requests at once. */
data class PaceChange(
    val kind: PaceChangeKind,
    val target: TargetId,
    val run: Incarnation,
    val allowed: Int,
)
