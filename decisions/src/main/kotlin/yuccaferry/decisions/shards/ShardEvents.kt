// Inputs of shard control: ticks, answers and requests.
package yuccaferry.decisions.shards

import yuccaferry.model.Epoch
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** One event with all inputs of the decision except the time at which it is handled. */
sealed interface ShardEvent {
    /** Time has passed. */
    data object Tick : ShardEvent

    /** Requests a graceful leave of this daemon. */
    data object Leave : ShardEvent

    /** [call], sent at [sentAt], was answered. */
    data class StoreAnswered(
        val call: StoreCall,
        val sentAt: MonotonicTime,
        val answer: StoreAnswer,
    ) : ShardEvent

    /** A voter answered; [answer] is null when it could not be reached. */
    data class LeaseExtensionAnswered(
        val call: PeerCall.ExtendLease,
        val sentAt: MonotonicTime,
        val answer: LeaseExtensionAnswer?,
    ) : ShardEvent

    /** A voter answered; [answer] is null when it could not be reached. */
    data class PromiseAnswered(
        val call: PeerCall.Promise,
        val answer: PromiseAnswer?,
    ) : ShardEvent

    /** The receiver of a shard answered; [answer] is null when its answer is unknown. */
    data class HandOverAnswered(
        val call: PeerCall.HandOver,
        val answer: HandOverAnswer?,
    ) : ShardEvent

    /** A peer hands a shard over; the answer refers to [token]. */
    data class HandOverReceived(
        val token: Long,
        val request: HandOverRequest,
    ) : ShardEvent

    /** The grants of [shard] were imported or recovered under [epoch]. */
    data class GrantsReady(
        val shard: ShardId,
        val epoch: Epoch,
    ) : ShardEvent
}

/** Answer of the key-value service to a [StoreCall]. */
sealed interface StoreAnswer {
    data class Granted(
        val session: Session,
    ) : StoreAnswer

    /** [alive] is false when the lease had expired. */
    data class Renewed(
        val alive: Boolean,
    ) : StoreAnswer

    data object Revoked : StoreAnswer

    /** Records found by a read, and the store's [revision] at the read. */
    data class Contents(
        val revision: Long,
        val entries: List<ControlEntry>,
    ) : StoreAnswer

    data class Written(
        val revision: Long,
    ) : StoreAnswer

    /** The compare-and-swap found [current] instead of what was expected. */
    data class Conflict(
        val current: ControlEntry?,
    ) : StoreAnswer

    /** No answer; a write may have taken effect or still do so. */
    data object Failed : StoreAnswer
}

/** One stored record with its revision. */
sealed interface ControlEntry {
    val revision: Long

    data class OfDaemon(
        val record: DaemonRecord,
        override val revision: Long,
    ) : ControlEntry

    data class OfShard(
        val shard: ShardId,
        val record: ShardRecord,
        override val revision: Long,
    ) : ControlEntry

    data class OfVoterSet(
        val region: RegionName,
        val voterSet: VoterSet,
        override val revision: Long,
    ) : ControlEntry
}
