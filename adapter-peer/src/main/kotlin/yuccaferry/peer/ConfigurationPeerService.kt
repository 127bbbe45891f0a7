// Answers other daemons' calls about the configuration.
package yuccaferry.peer

import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.kotlin.ServerCalls
import kotlinx.coroutines.Dispatchers
import yuccaferry.daemon.configuration.ConfigurationCodec
import yuccaferry.daemon.configuration.ConfigurationReplica
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import kotlin.coroutines.CoroutineContext

/** Serves the configuration of [replica] to other daemons; calls run in [context]. */
class ConfigurationPeerService(
    private val replica: ConfigurationReplica,
    private val context: CoroutineContext = Dispatchers.Default,
) {
    /** Returns the service definition for a [PeerServer]. */
    fun definition(): ServerServiceDefinition =
        ServerServiceDefinition
            .builder("yuccaferry.Configuration")
            .addMethod(ServerCalls.unaryServerMethodDefinition(context, fetchMethod, ::fetch))
            .addMethod(ServerCalls.unaryServerMethodDefinition(context, announceMethod, ::announce))
            .addMethod(ServerCalls.unaryServerMethodDefinition(context, versionMethod) { VersionAnswer(replica.current.version.value) })
            .build()

    private suspend fun fetch(request: FetchRequest): FetchAnswer {
        if (!replica.settled.value) throw StatusException(Status.FAILED_PRECONDITION.withDescription("starting; newest version unknown"))
        val held = replica.heldConfiguration
        if (held.configuration.version.value <= request.newerThan) return FetchAnswer()
        return FetchAnswer(ConfigurationCodec.toBytes(held.configuration), held.revision)
    }

    private suspend fun announce(request: AnnounceRequest): VersionAnswer =
        VersionAnswer(replica.fetchIfNewer(ConfigurationVersion(request.version), Address(request.from)).value)
}
