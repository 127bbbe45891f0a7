/*
 * Effects that shard control requests from its caller. Each call to the store or to a peer is answered by exactly one
 * event, also when it fails.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.Epoch
import yuccaferry.model.RegionName

/** An action for the caller of [ShardStateMachine] to perform. */
sealed interface ShardEffect {
    /** Answers the hand-over that arrived with [token]. */
    data class AnswerHandOver(
        val token: Long,
        val answer: HandOverAnswer,
    ) : ShardEffect

    /** Reports that this daemon has left: it holds no shards and no lease. */
    data object Left : ShardEffect
}

/** A call to the key-value service. */
sealed interface StoreCall : ShardEffect {
    data class GrantLease(
        val ttlMillis: Long,
    ) : StoreCall

    data class RenewLease(
        val session: Session,
    ) : StoreCall

    data class RevokeLease(
        val session: Session,
    ) : StoreCall

    /** Reads every control record written after [afterRevision]. */
    data class ReadControl(
        val afterRevision: Long,
    ) : StoreCall

    /** Reads all daemon records of [region]; a daemon without a record has no lease. */
    data class ReadDaemons(
        val region: RegionName,
    ) : StoreCall

    data class ReadVoterSet(
        val region: RegionName,
    ) : StoreCall

    /** Writes the record, bound to the lease of its session, by compare-and-swap. */
    data class WriteDaemon(
        val record: DaemonRecord,
        val expectedRevision: Long,
    ) : StoreCall

    data class WriteShard(
        val shard: ShardId,
        val record: ShardRecord,
        val expectedRevision: Long,
    ) : StoreCall

    data class WriteVoterSet(
        val region: RegionName,
        val voterSet: VoterSet,
        val expectedRevision: Long,
    ) : StoreCall
}

/** A call to another daemon. */
sealed interface PeerCall : ShardEffect {
    data class ExtendLease(
        val member: Voter,
        val request: LeaseExtensionRequest,
    ) : PeerCall

    data class Promise(
        val member: Voter,
        val request: PromiseRequest,
    ) : PeerCall

    /** Exports the grants of [shard] and sends them to [to]. */
    data class HandOver(
        val to: DaemonRecord,
        val shard: ShardId,
        val epoch: Epoch,
        val revision: Long,
        val from: LeaseHolder,
    ) : PeerCall
}

/** A call that concerns the grants of one shard. */
sealed interface GrantsCall : ShardEffect {
    val shard: ShardId

    /** Imports the grants that came with the hand-over [token]. */
    data class Import(
        override val shard: ShardId,
        val epoch: Epoch,
        val token: Long,
    ) : GrantsCall

    /** Collects outstanding grants from all daemons. */
    data class Recover(
        override val shard: ShardId,
        val epoch: Epoch,
    ) : GrantsCall

    /** Discards the grants. */
    data class Discard(
        override val shard: ShardId,
    ) : GrantsCall
}
