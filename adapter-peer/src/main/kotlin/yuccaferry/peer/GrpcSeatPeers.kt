// Calls about the right to decide between daemons over gRPC.
package yuccaferry.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.grpc.ServerServiceDefinition
import io.grpc.kotlin.ServerCalls
import kotlinx.coroutines.CoroutineScope
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.SeatPeerHandler
import yuccaferry.daemon.port.SeatPeers
import yuccaferry.decisions.seats.HandOverAnswer
import yuccaferry.decisions.seats.HandOverRequest
import yuccaferry.decisions.seats.LeaseExtensionAnswer
import yuccaferry.decisions.seats.LeaseExtensionRequest
import yuccaferry.decisions.seats.PromiseAnswer
import yuccaferry.decisions.seats.PromiseRequest
import yuccaferry.model.Address

private const val SERVICE = "Seats"
private const val ATTEST_TIMEOUT_MILLIS = 1_000L
private const val PROMISE_TIMEOUT_MILLIS = 1_000L
private const val HAND_OVER_TIMEOUT_MILLIS = 5_000L

private val attestMethod = peerMethod(SERVICE, "Attest", WireAttest.serializer(), WireAttested.serializer())
private val promiseMethod = peerMethod(SERVICE, "Promise", WirePromise.serializer(), WirePromised.serializer())
private val handOverMethod = peerMethod(SERVICE, "HandOver", WireHandOver.serializer(), WireHandedOver.serializer())

/** Asks peers over [channels]. */
class GrpcSeatPeers(
    private val channels: PeerChannels,
) : SeatPeers {
    override suspend fun extendLease(
        peer: Address,
        request: LeaseExtensionRequest,
    ): Result<LeaseExtensionAnswer, PeerError> =
        channels.call(peer, attestMethod, request.toWire(), ATTEST_TIMEOUT_MILLIS).map { it.toDomain() }

    override suspend fun promise(
        peer: Address,
        request: PromiseRequest,
    ): Result<PromiseAnswer, PeerError> = channels.call(peer, promiseMethod, request.toWire(), PROMISE_TIMEOUT_MILLIS).map { it.toDomain() }

    override suspend fun handOver(
        peer: Address,
        request: HandOverRequest,
    ): Result<HandOverAnswer, PeerError> = channels.call(peer, handOverMethod, request.toWire(), HAND_OVER_TIMEOUT_MILLIS).map { it.answer }
}

/** The service by which peers ask [handler]. */
fun seatPeerService(
    scope: CoroutineScope,
    handler: SeatPeerHandler,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder("yuccaferry.$SERVICE")
        .addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, attestMethod) { handler.extendLease(it.toDomain()).toWire() },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, promiseMethod) { handler.promise(it.toDomain()).toWire() },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, handOverMethod) {
                WireHandedOver(handler.handOver(it.toDomain()))
            },
        ).build()
