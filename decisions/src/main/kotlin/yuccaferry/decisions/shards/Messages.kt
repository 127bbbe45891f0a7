// Messages between daemons about lease extensions, promises and hand-overs. They carry durations instead of points in time,
// as the clocks of daemons can't be compared.
package yuccaferry.decisions.shards

import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.Epoch

/**
 * Request to a voter to extend the lease of [holder]; [RefusalReason] lists the cases in which it refuses.
 *
 * @property voterSetVersion version of the voter set under which the extension counts.
 * @property configuration configuration version in force on the holder.
 */
data class LeaseExtensionRequest(
    val holder: LeaseHolder,
    val voterSetVersion: Long,
    val configuration: ConfigurationVersion,
)

/** Answer to a [LeaseExtensionRequest]. */
sealed interface LeaseExtensionAnswer {
    /** Configuration version in force on the voter. */
    val configuration: ConfigurationVersion

    /** Extended by [ShardSettings.extensionMillis], which the holder counts from before it sent the request. */
    data class Extended(
        override val configuration: ConfigurationVersion,
    ) : LeaseExtensionAnswer

    /** Not extended. */
    data class Refused(
        override val configuration: ConfigurationVersion,
        val reason: RefusalReason,
    ) : LeaseExtensionAnswer
}

/** Reason for which a voter refused a lease extension or a promise. */
enum class RefusalReason {
    /** The voter has promised not to extend this holder's lease any more. */
    PROMISED_AWAY,

    /** The voter has promised not to extend leases under this version of the voter set any more. */
    STALE_ROSTER,

    /** The voter has left, or has been without a lease for longer than [ShardSettings.maxExtensionMillis]. */
    NOT_ATTESTING,

    /** The voter has not recently read that the holder's lease is gone, or has not recently reached the store. */
    REASON_NOT_SEEN,
}

/** Request to a voter to promise never to extend certain leases again. */
sealed interface PromiseRequest {
    /** Request for the promise never to extend again for [holder], whose lease is gone. */
    data class FenceHolder(
        val holder: LeaseHolder,
    ) : PromiseRequest

    /** Request for the promise never to extend again under voter set [version] or an older one. */
    data class FenceVoters(
        val version: Long,
    ) : PromiseRequest
}

/** Answer to a [PromiseRequest]. */
sealed interface PromiseAnswer {
    /** Promised; extensions given before expire after [remainingMillis]. */
    data class Promised(
        val remainingMillis: Long,
    ) : PromiseAnswer

    /** Not promised. */
    data class Refused(
        val reason: RefusalReason,
    ) : PromiseAnswer
}

/**
 * Hands [shard] with its grants to the receiver; the sender, its holder under [epoch], has stopped deciding for it.
 *
 * @property revision store revision of the shard's record, which the receiver replaces.
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
    /** The receiver holds the shard now. */
    TAKEN,

    /** The receiver doesn't hold the shard; the sender may take it back by compare-and-swap. */
    NOT_TAKEN,
}
