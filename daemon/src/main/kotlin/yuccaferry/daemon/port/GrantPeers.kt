// Port to other daemons about grants: an entry asks the daemon that holds a target's seat.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.decisions.grants.Ask
import yuccaferry.decisions.grants.Denial
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.grants.UseOutcome
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Epoch
import yuccaferry.model.RequestId
import yuccaferry.model.TargetId

/**
 * Asks for the right to use [target].
 *
 * @property waitMillis longest time to wait for room.
 * @property configuration version in force at the asking daemon.
 */
data class AskRequest(
    val target: TargetId,
    val ask: Ask,
    val waitMillis: Long,
    val configuration: ConfigurationVersion,
)

/** Answer to an [AskRequest]. */
sealed interface AskAnswer {
    /** Version in force at the answering daemon. */
    val configuration: ConfigurationVersion

    /** The right is given. [queuedMillis] is the time between the request's arrival and the giving. */
    data class Given(
        override val configuration: ConfigurationVersion,
        val epoch: Epoch,
        val queuedMillis: Long,
        val summary: TargetSummary,
    ) : AskAnswer

    /** The decider refused. */
    data class Denied(
        override val configuration: ConfigurationVersion,
        val denial: Denial,
        val summary: TargetSummary,
    ) : AskAnswer

    /** The answering daemon may not decide over this target at present. */
    data class NotDeciding(
        override val configuration: ConfigurationVersion,
    ) : AskAnswer
}

/** Gives a grant back. */
data class ReleaseNotice(
    val target: TargetId,
    val request: RequestId,
    val outcome: UseOutcome,
)

/** Calls to other daemons, each with a timeout and without retries. */
interface GrantPeers {
    /** Asks [peer] for a grant. */
    suspend fun ask(
        peer: Address,
        request: AskRequest,
    ): Result<AskAnswer, PeerError>

    /** Gives a grant back to [peer]; repeating it changes nothing. */
    suspend fun release(
        peer: Address,
        notice: ReleaseNotice,
    ): Result<Unit, PeerError>

    /** Tells [peer] the state of targets that this daemon decides over. */
    suspend fun share(
        peer: Address,
        summaries: List<TargetSummary>,
    ): Result<Unit, PeerError>
}

/** What this daemon answers to other daemons' [GrantPeers]. */
interface GrantPeerHandler {
    suspend fun ask(request: AskRequest): AskAnswer

    fun release(notice: ReleaseNotice)

    fun share(summaries: List<TargetSummary>)
}
