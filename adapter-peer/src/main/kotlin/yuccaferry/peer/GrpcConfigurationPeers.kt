// Calls to other daemons about the configuration.
package yuccaferry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import yuccaferry.daemon.configuration.ConfigurationCodec
import yuccaferry.daemon.port.ConfigurationPeers
import yuccaferry.daemon.port.HeldConfiguration
import yuccaferry.daemon.port.PeerError
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion

private const val DEFAULT_TIMEOUT_MILLIS = 1_000L

/** Calls other daemons over [channels]; each call times out after [timeoutMillis]. */
class GrpcConfigurationPeers(
    private val channels: PeerChannels,
    private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) : ConfigurationPeers {
    override suspend fun fetch(
        peer: Address,
        newerThan: ConfigurationVersion,
    ): Result<HeldConfiguration?, PeerError> =
        channels.call(peer, fetchMethod, FetchRequest(newerThan.value), timeoutMillis).flatMap { decode(it) }

    override suspend fun announce(
        peer: Address,
        version: ConfigurationVersion,
        from: Address,
    ): Result<ConfigurationVersion, PeerError> =
        channels
            .call(peer, announceMethod, AnnounceRequest(version.value, from.value), timeoutMillis)
            .map { ConfigurationVersion(it.version) }

    override suspend fun versionOf(peer: Address): Result<ConfigurationVersion, PeerError> =
        channels.call(peer, versionMethod, VersionRequest(), timeoutMillis).map { ConfigurationVersion(it.version) }

    private fun decode(answer: FetchAnswer): Result<HeldConfiguration?, PeerError> {
        if (answer.configuration.isEmpty()) return Ok(null)
        val configuration = ConfigurationCodec.fromBytes(answer.configuration)
        if (configuration == null) return Err(PeerError.Refused("the peer sent a configuration that can't be decoded"))
        return Ok(HeldConfiguration(configuration, answer.revision))
    }
}
