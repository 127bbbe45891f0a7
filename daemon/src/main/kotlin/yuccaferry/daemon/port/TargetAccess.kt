/*
 * Port that grants the use of targets. A grant allows one piece of work on one target. Implementations request it from
 * the holder of the target's shard, which is this process or a peer.
 */
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.decisions.placement.Demand
import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.Target
import yuccaferry.model.TargetId

/**
 * The right to start one piece of work on [target].
 *
 * @property request the work that the grant is for.
 * @property useBy the work must have been sent before this time, or not at all.
 */
data class Grant(
    val request: RequestId,
    val target: Target,
    val epoch: Epoch,
    val useBy: MonotonicTime,
)

/**
 * A target that can be an engine of a gang.
 *
 * @property kvTokens memory of the whole target in tokens.
 */
data class GangCandidate(
    val target: Target,
    val kvTokens: Long,
)

/** Reason why no target was granted. */
sealed interface AccessRefusal {
    /** No live target in service may serve the demand at all. */
    data object NoTarget : AccessRefusal

    /** Targets exist but none had room before the deadline. */
    data object Full : AccessRefusal

    /** The work needs more memory than any one target has; the largest has [kvTokens] tokens. */
    data class TooLarge(
        val kvTokens: Long,
    ) : AccessRefusal
}

/** Grants the right to use targets. */
interface TargetAccess {
    /** Waits for a grant until [deadline]; targets in [excluded] are not considered. */
    suspend fun acquire(
        demand: Demand,
        excluded: Set<TargetId>,
        deadline: MonotonicTime,
    ): Result<Grant, AccessRefusal>

    /** Returns the targets in service that can take a part of [demand], the one with the least held memory first. */
    fun gangCandidates(
        demand: Demand,
        excluded: Set<TargetId>,
    ): List<GangCandidate>

    /**
     * Waits until [deadline] for a grant on [target] alone.
     * Repeating it for a request that has an unused grant there renews the grant.
     */
    suspend fun acquireOn(
        target: Target,
        demand: Demand,
        deadline: MonotonicTime,
    ): Result<Grant, AccessRefusal>

    /** Releases [grant]; never fails, and is safe to call from a cancelled coroutine. */
    fun release(
        grant: Grant,
        outcome: UseOutcome,
    )
}
