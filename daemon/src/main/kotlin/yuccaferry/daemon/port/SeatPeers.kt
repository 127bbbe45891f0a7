// Port to other daemons about the right to decide: what is asked of them, and what this daemon answers.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.decisions.seats.HandOverAnswer
import yuccaferry.decisions.seats.HandOverRequest
import yuccaferry.decisions.seats.LeaseExtensionAnswer
import yuccaferry.decisions.seats.LeaseExtensionRequest
import yuccaferry.decisions.seats.PromiseAnswer
import yuccaferry.decisions.seats.PromiseRequest
import yuccaferry.model.Address

/** Calls to other daemons, each with a timeout and without retries. */
interface SeatPeers {
    /** Asks [peer], a roster member, for an attestation. */
    suspend fun extendLease(
        peer: Address,
        request: LeaseExtensionRequest,
    ): Result<LeaseExtensionAnswer, PeerError>

    /** Asks [peer], a roster member, for a promise. */
    suspend fun promise(
        peer: Address,
        request: PromiseRequest,
    ): Result<PromiseAnswer, PeerError>

    /** Gives a seat to [peer]. */
    suspend fun handOver(
        peer: Address,
        request: HandOverRequest,
    ): Result<HandOverAnswer, PeerError>
}

/** What this daemon answers to other daemons' [SeatPeers]. */
interface SeatPeerHandler {
    suspend fun extendLease(request: LeaseExtensionRequest): LeaseExtensionAnswer

    suspend fun promise(request: PromiseRequest): PromiseAnswer

    suspend fun handOver(request: HandOverRequest): HandOverAnswer
}
