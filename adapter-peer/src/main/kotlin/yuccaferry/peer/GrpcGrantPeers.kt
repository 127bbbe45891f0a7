// Calls between daemons about grants over gRPC.
package yuccaferry.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.grpc.ServerServiceDefinition
import io.grpc.kotlin.ServerCalls
import kotlinx.coroutines.CoroutineScope
import yuccaferry.daemon.port.GrantAnswer
import yuccaferry.daemon.port.GrantPeerHandler
import yuccaferry.daemon.port.GrantPeers
import yuccaferry.daemon.port.GrantRequest
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.ReleaseNotice
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.model.Address

private const val SERVICE = "Grants"
private const val CALL_TIMEOUT_MILLIS = 1_000L

private val requestMethod = peerMethod(SERVICE, "Ask", WireGrantRequest.serializer(), WireGrantAnswer.serializer())
private val releaseMethod = peerMethod(SERVICE, "Release", WireRelease.serializer(), WireEmpty.serializer())
private val shareMethod = peerMethod(SERVICE, "Share", WireSummaries.serializer(), WireEmpty.serializer())

/** Calls peers over [channels]. */
class GrpcGrantPeers(
    private val channels: PeerChannels,
) : GrantPeers {
    override suspend fun requestGrant(
        peer: Address,
        request: GrantRequest,
    ): Result<GrantAnswer, PeerError> =
        channels.call(peer, requestMethod, request.toWire(), request.waitMillis + CALL_TIMEOUT_MILLIS).map { it.toDomain() }

    override suspend fun release(
        peer: Address,
        notice: ReleaseNotice,
    ): Result<Unit, PeerError> = channels.call(peer, releaseMethod, notice.toWire(), CALL_TIMEOUT_MILLIS).map { }

    override suspend fun share(
        peer: Address,
        summaries: List<TargetSummary>,
    ): Result<Unit, PeerError> = channels.call(peer, shareMethod, WireSummaries(summaries.map { it.toWire() }), CALL_TIMEOUT_MILLIS).map { }
}

/** Returns the service that passes peers' calls to [handler]. */
fun grantPeerService(
    scope: CoroutineScope,
    handler: GrantPeerHandler,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder("yuccaferry.$SERVICE")
        .addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, requestMethod) { handler.requestGrant(it.toDomain()).toWire() },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, releaseMethod) {
                handler.release(it.toDomain())
                WireEmpty()
            },
        ).addMethod(
            ServerCalls.unaryServerMethodDefinition(scope.coroutineContext, shareMethod) { request ->
                handler.share(request.summaries.map { it.toDomain() })
                WireEmpty()
            },
        ).build()
