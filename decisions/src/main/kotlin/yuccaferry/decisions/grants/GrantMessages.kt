// Messages between the decider of a target, which is the daemon that grants its use, and other daemons, independent of the transport.
package yuccaferry.decisions.grants

import yuccaferry.model.AccountName
import yuccaferry.model.DaemonId
import yuccaferry.model.Incarnation
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** Outcome of the use of a grant. */
enum class UseOutcome { UNUSED, SUCCEEDED, TARGET_FAILED, CANCELLED }

/**
 * Request for a part of one target.
 *
 * @property holdTokens KV tokens reserved until the work ends.
 * @property prefillTokens prompt tokens to be computed.
 * @property long whether the prompt counts against the target's limit on long prefills.
 * @property priority order in the queue; lower is more urgent.
 * @property weight weight of the account in fair queueing.
 * @property timeLeftMillis time until the request's deadline.
 */
data class AllocationRequest(
    val id: RequestId,
    val owner: DaemonId,
    val account: AccountName,
    val holdTokens: Long,
    val prefillTokens: Long,
    val long: Boolean,
    val priority: Int,
    val weight: Int,
    val timeLeftMillis: Long,
)

/** Reason why a grant was denied. */
enum class Denial {
    /** The target's zone is out of service, or the target is leaving or gone. */
    NOT_IN_SERVICE,

    /** The work exceeds the target's memory and can never fit. */
    TOO_LARGE,

    /** The target had no free capacity before the end of the wait. */
    FULL,

    /** The target failed recently, or its state is not known. */
    UNAVAILABLE,
}

/** Decision on one grant request, sent to its owner. */
sealed interface GrantEffect {
    val request: RequestId

    /** The owner of [request] may start its work within the grant window. */
    data class Grant(
        override val request: RequestId,
    ) : GrantEffect

    /** The owner of [request] may not use the target. */
    data class Deny(
        override val request: RequestId,
        val denial: Denial,
    ) : GrantEffect
}

/**
 * Limits of a target.
 *
 * @property kvTokens KV memory in tokens.
 * @property coldRequests most concurrent requests while cold.
 * @property warmRequests most concurrent requests once warm.
 * @property longPrefills most long prompts in prefill at once.
 * @property observable whether the target lists its work; one that doesn't is assumed to be warm and reachable.
 */
data class TargetLimits(
    val kvTokens: Long,
    val coldRequests: Int,
    val warmRequests: Int,
    val longPrefills: Int,
    val observable: Boolean,
)

/** A request in progress that a target lists. */
data class ObservedWork(
    val request: RequestId,
    val owner: DaemonId,
    val holdTokens: Long,
    val prefillTokensLeft: Long,
    val timeLeftMillis: Long,
)

/** State and work that a target listed. */
data class Observation(
    val incarnation: Incarnation,
    val warm: Boolean,
    val work: List<ObservedWork>,
)

/**
 * Summary of one target's state, for placement at other daemons.
 *
 * @property room further requests that the request limit allows now; zero while the target is unavailable.
 * @property open whether grants may be made: the target is in service and available.
 */
data class TargetSummary(
    val target: TargetId,
    val running: Int,
    val waiting: Int,
    val room: Int,
    val heldTokens: Long,
    val prefillTokens: Long,
    val longPrefills: Int,
    val warm: Boolean,
    val open: Boolean,
)
