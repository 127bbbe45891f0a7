// Port to other daemons for shards and leases: calls to them, and the handler of their calls.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.decisions.shards.HandOverAnswer
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionAnswer
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.PromiseAnswer
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.model.Address

/** Calls to other daemons, each with a timeout and without retries. */
interface ShardPeers {
    /** Asks [peer], a voter of the region's voter set, to extend a holder's lease. */
    suspend fun extendLease(
        peer: Address,
        request: LeaseExtensionRequest,
    ): Result<LeaseExtensionAnswer, PeerError>

    /** Asks [peer], a voter of the region's voter set, for a promise. */
    suspend fun promise(
        peer: Address,
        request: PromiseRequest,
    ): Result<PromiseAnswer, PeerError>

    /** Hands a shard over to [peer]. */
    suspend fun handOver(
        peer: Address,
        request: HandOverRequest,
    ): Result<HandOverAnswer, PeerError>
}

/** Handles the calls of other daemons' [ShardPeers]. */
interface ShardPeerHandler {
    suspend fun extendLease(request: LeaseExtensionRequest): LeaseExtensionAnswer

    suspend fun promise(request: PromiseRequest): PromiseAnswer

    suspend fun handOver(request: HandOverRequest): HandOverAnswer
}
