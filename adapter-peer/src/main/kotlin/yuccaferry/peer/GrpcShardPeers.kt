// Calls between daemons about shards and leases over gRPC.
package yuccaferry.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.grpc.ServerServiceDefinition
import io.grpc.kotlin.ServerCalls
import kotlinx.coroutines.CoroutineScope
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.ShardPeerHandler
import yuccaferry.daemon.port.ShardPeers
import yuccaferry.decisions.shards.HandOverAnswer
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionAnswer
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.PromiseAnswer
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.model.Address

/** Name of the service; it and the method `Attest` have the former names of shards and lease extensions on the wire. */
private const val SERVICE = "Seats"

private const val EXTEND_LEASE_TIMEOUT_MILLIS = 1_000L
private const val PROMISE_TIMEOUT_MILLIS = 1_000L
private const val HAND_OVER_TIMEOUT_MILLIS = 5_000L

private val extendMethod = peerMethod(SERVICE, "Attest", WireExtendLease.serializer(), WireExtendLeaseAnswer.serializer())
private val promiseMethod = peerMethod(SERVICE, "Promise", WirePromise.serializer(), WirePromiseAnswer.serializer())
private val handOverMethod = peerMethod(SERVICE, "HandOver", WireHandOver.serializer(), WireHandOverAnswer.serializer())

/** Calls peers over [channels]. */
class GrpcShardPeers(
    private val channels: PeerChannels,
) : ShardPeers {
    override suspend fun extendLease(
        peer: Address,
        request: LeaseExtensionRequest,
    ): Result<LeaseExtensionAnswer, PeerError> =
        channels.call(peer, extendMethod, request.toWire(), EXTEND_LEASE_TIMEOUT_MILLIS).map { it.toDomain() }

    override suspend fun promise(
        peer: Address,
        request: PromiseRequest,
    ): Result<PromiseAnswer, PeerError> = channels.call(peer, promiseMethod, request.toWire(), PROMISE_TIMEOUT_MILLIS).map { it.toDomain() }

    override suspend fun handOver(
        peer: Address,
        request: HandOverRequest,
    ): Result<HandOverAnswer, PeerError> = channels.call(peer, handOverMethod, request.toWire(), HAND_OVER_TIMEOUT_MILLIS).map { it.answer }
}

/** Returns the service that passes peers' calls to [handler]. */
fun shardPeerService(
    scope: CoroutineScope,
    handler: ShardPeerHandler,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder("yuccaferry.$SERVICE")
        .addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, extendMethod) { handler.extendLease(it.toDomain()).toWire() },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, promiseMethod) { handler.promise(it.toDomain()).toWire() },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, handOverMethod) {
                WireHandOverAnswer(handler.handOver(it.toDomain()))
            },
        ).build()
