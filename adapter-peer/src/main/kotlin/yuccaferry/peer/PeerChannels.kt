// Connections to other daemons, one per address, and the only place that maps gRPC failures to [PeerError].
package yuccaferry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.kotlin.ClientCalls
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import yuccaferry.daemon.port.PeerError
import yuccaferry.model.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Connections to peers, opened on first use and kept until [disconnect] or [close]. */
class PeerChannels : AutoCloseable {
    private val channels = ConcurrentHashMap<Address, ManagedChannel>()

    /** Calls [method] at [peer]; fails with [PeerError.Unreachable] after [timeoutMillis]. */
    suspend fun <Q, A> call(
        peer: Address,
        method: MethodDescriptor<Q, A>,
        request: Q,
        timeoutMillis: Long,
    ): Result<A, PeerError> {
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        return try {
            Ok(ClientCalls.unaryRpc(channel(peer), method, request, options))
        } catch (e: StatusException) {
            Err(peerError(e.status))
        } catch (e: IllegalArgumentException) {
            // Thrown for an address that is none; a record in the store or a peer may name one.
            Err(PeerError.Unreachable("expected an address, found ${peer.value}: ${e.message}"))
        }
    }

    /** Closes the connection to [peer], for one that has left the fleet. */
    fun disconnect(peer: Address) {
        channels.remove(peer)?.shutdown()
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private fun channel(peer: Address) =
        channels.computeIfAbsent(peer) {
            NettyChannelBuilder
                .forTarget(it.value)
                .usePlaintext()
                .build()
        }

    private fun peerError(status: Status): PeerError =
        when (status.code) {
            Status.Code.FAILED_PRECONDITION, Status.Code.INVALID_ARGUMENT, Status.Code.PERMISSION_DENIED -> {
                PeerError.Refused(status.description ?: status.code.name)
            }

            else -> {
                PeerError.Unreachable("${status.code}: ${status.description ?: status.cause?.message}")
            }
        }
}
