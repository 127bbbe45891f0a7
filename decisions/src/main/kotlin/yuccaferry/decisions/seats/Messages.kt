// Messages between daemons about the right to decide. Durations only: clocks of daemons can't be compared.
package yuccaferry.decisions.seats

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Epoch

/** [holder] asks a member of roster [voterSet] to attest that it has promised no claimant to stop attesting. */
data class LeaseExtensionRequest(
    val holder: LeaseHolder,
    val voterSetVersion: Long,
    val configuration: ConfigurationVersion,
)

/** Answer to an [LeaseExtensionRequest]. */
sealed interface LeaseExtensionAnswer {
    /** The attester's configuration version. */
    val configuration: ConfigurationVersion

    /** Valid for the agreed time, counted by the holder from before it sent the request. */
    data class Extended(
        override val configuration: ConfigurationVersion,
    ) : LeaseExtensionAnswer

    /** The member doesn't attest for this holder. */
    data class Refused(
        override val configuration: ConfigurationVersion,
        val reason: RefusalReason,
    ) : LeaseExtensionAnswer
}

/** Why a roster member refused. */
enum class RefusalReason {
    /** The holder was promised away to a claimant. */
    PROMISED_AWAY,

    /** The roster has been superseded. */
    STALE_ROSTER,

    /** The member has left, or has been without a lease for longer than the continuation limit. */
    NOT_ATTESTING,

    /** The member has not read lately that the holder's lease is gone, or doesn't reach the store. */
    REASON_NOT_SEEN,
}

/** A request never to attest again. */
sealed interface PromiseRequest {
    /** Never to attest again for [holder], whose lease is gone. */
    data class FenceHolder(
        val holder: LeaseHolder,
    ) : PromiseRequest

    /** Never to attest again under roster [version] or an older one. */
    data class FenceVoters(
        val version: Long,
    ) : PromiseRequest
}

/** Answer to a [PromiseRequest]. */
sealed interface PromiseAnswer {
    /** Promised; attestations given before are void after [remainingMillis]. */
    data class Promised(
        val remainingMillis: Long,
    ) : PromiseAnswer

    /** Nothing was promised. */
    data class Refused(
        val reason: RefusalReason,
    ) : PromiseAnswer
}

/**
 * The holder of [shard] under [epoch] has stopped deciding and gives the seat with its grants to the receiver.
 *
 * @property revision store revision of the seat's record, which the receiver replaces.
 */
class HandOverRequest(
    val shard: ShardId,
    val epoch: Epoch,
    val revision: Long,
    val from: LeaseHolder,
    val grants: ByteArray,
)

/** Answer to a [HandOverRequest]. */
enum class HandOverAnswer {
    /** The receiver holds the seat now. */
    TAKEN,

    /** The receiver doesn't hold the seat; the sender may take it back by compare-and-swap. */
    NOT_TAKEN,
}
