// What is asked of the decider of a target and what it answers, apart from how it travels.
package yuccaferry.decisions.grants

import yuccaferry.model.AccountName
import yuccaferry.model.DaemonId
import yuccaferry.model.Incarnation
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/** How the use of a grant ended. */
enum class UseOutcome { UNUSED, SUCCEEDED, TARGET_FAILED, CANCELLED }

/**
 * One request for the right to use one target.
 *
 * @property holdTokens KV tokens reserved until the work ends.
 * @property prefillTokens prompt tokens to be computed.
 * @property long whether the prompt counts against the target's bound on long prefills.
 * @property priority order in the queue; lower is more urgent.
 * @property weight share of the account under fair queueing.
 * @property timeLeftMillis time until the request's deadline.
 */
data class Ask(
    val request: RequestId,
    val owner: DaemonId,
    val account: AccountName,
    val holdTokens: Long,
    val prefillTokens: Long,
    val long: Boolean,
    val priority: Int,
    val weight: Int,
    val timeLeftMillis: Long,
)

/** Why a target was not granted. */
enum class Denial {
    /** The target's zone is out of service, or the target is leaving or gone. */
    NOT_IN_SERVICE,

    /** The work can never fit on this target. */
    TOO_LARGE,

    /** The target had no room before the end of the wait. */
    FULL,

    /** The target failed lately, or its state is not known yet. */
    UNAVAILABLE,
}

/** What the decider does about asks; sent to the owner of each. */
sealed interface GrantEffect {
    val request: RequestId

    /** The owner of [request] may start its work within the grant window. */
    data class Give(
        override val request: RequestId,
    ) : GrantEffect

    /** The owner of [request] may not use the target. */
    data class Deny(
        override val request: RequestId,
        val denial: Denial,
    ) : GrantEffect
}

/**
 * What a target bears.
 *
 * @property kvTokens KV memory in tokens.
 * @property coldRequests concurrent requests while cold.
 * @property warmRequests concurrent requests once warm.
 * @property longPrefills long prompts in prefill at once.
 * @property observable whether the target lists its work; one that doesn't is taken to be warm and reachable.
 */
data class TargetLimits(
    val kvTokens: Long,
    val coldRequests: Int,
    val warmRequests: Int,
    val longPrefills: Int,
    val observable: Boolean,
)

/** One piece of work that a target lists. */
data class ObservedWork(
    val request: RequestId,
    val owner: DaemonId,
    val holdTokens: Long,
    val prefillTokensLeft: Long,
    val timeLeftMillis: Long,
)

/** What a target listed of itself. */
data class Observation(
    val incarnation: Incarnation,
    val warm: Boolean,
    val work: List<ObservedWork>,
)

/**
 * The state of one target in short, for placement at other daemons.
 *
 * @property room requests that could be given at once.
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
