// Port to other daemons for grants: a daemon requests a grant on a target from the holder of the target's shard.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.decisions.grants.AllocationRequest
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Epoch
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/**
 * Request for a grant on [target].
 *
 * @property waitMillis longest time to wait for room.
 * @property configuration version in force at the requesting daemon.
 */
data class GrantRequest(
    val target: TargetId,
    val allocation: AllocationRequest,
    val waitMillis: Long,
    val configuration: ConfigurationVersion,
)

/** Answer to a [GrantRequest]. */
sealed interface GrantAnswer {
    /** Version in force at the answering daemon. */
    val configuration: ConfigurationVersion

    /** The request is granted. [queuedMillis] is the time from the arrival of the request to the answer. */
    data class Granted(
        override val configuration: ConfigurationVersion,
        val epoch: Epoch,
        val queuedMillis: Long,
        val summary: TargetSummary,
    ) : GrantAnswer

    /** The holder of the target's shard denied the request. */
    data class Denied(
        override val configuration: ConfigurationVersion,
        val denial: Denial,
        val summary: TargetSummary,
    ) : GrantAnswer

    /** The answering daemon may not decide grants for this target at present. */
    data class NotDeciding(
        override val configuration: ConfigurationVersion,
    ) : GrantAnswer
}

/** Notice that the grant of [request] on [target] is released, and how it was used. */
data class ReleaseNotice(
    val target: TargetId,
    val request: RequestId,
    val outcome: UseOutcome,
)

/** Calls to other daemons, each with a timeout and without retries. */
interface GrantPeers {
    /** Requests a grant from [peer]. */
    suspend fun requestGrant(
        peer: Address,
        request: GrantRequest,
    ): Result<GrantAnswer, PeerError>

    /** Releases a grant at [peer]; repeating it changes nothing. */
    suspend fun release(
        peer: Address,
        notice: ReleaseNotice,
    ): Result<Unit, PeerError>

    /** Sends [peer] the summaries of the targets for which this daemon decides. */
    suspend fun share(
        peer: Address,
        summaries: List<TargetSummary>,
    ): Result<Unit, PeerError>
}

/** Handles the calls of other daemons' [GrantPeers]. */
interface GrantPeerHandler {
    suspend fun requestGrant(request: GrantRequest): GrantAnswer

    fun release(notice: ReleaseNotice)

    fun share(summaries: List<TargetSummary>)
}
