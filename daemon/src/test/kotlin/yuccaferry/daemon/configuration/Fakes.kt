// Fakes and sample values for the tests of the configuration.
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.Json
import yuccaferry.daemon.port.ConfigurationPeers
import yuccaferry.daemon.port.HeldConfiguration
import yuccaferry.daemon.port.PeerError
import yuccaferry.decisions.configuration.ChangeAuthor
import yuccaferry.decisions.configuration.Member
import yuccaferry.model.Address
import yuccaferry.model.AttemptId
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.RegionName

/** A file with zones a and b and an account of the given [weight]. */
internal fun file(weight: Int): OperatorFile =
    Json.decodeFromString(
        """{"format":1,"zones":[{"name":"a","region":"r"},{"name":"b","region":"r"}],"models":[{"name":"m","version":"1"}],
        "accounts":[{"name":"acc","keySha256":["${"0".repeat(64)}"],"serves":["m"],"weight":$weight}]}""",
    )

internal fun author(attempt: String) = ChangeAuthor("operator", AttemptId(attempt))

internal fun member(
    address: String,
    region: String = "r",
) = Member(Address(address), RegionName(region))

/** Daemons in one process; those in [unreachable] can't be reached. */
internal class FakePeers : ConfigurationPeers {
    val replicas = mutableMapOf<Address, ConfigurationReplica>()
    val unreachable = mutableSetOf<Address>()

    override suspend fun fetch(
        peer: Address,
        newerThan: ConfigurationVersion,
    ): Result<HeldConfiguration?, PeerError> {
        val replica = reach(peer) ?: return Err(PeerError.Unreachable("cut"))
        if (!replica.settled.value) return Err(PeerError.Refused("starting"))
        return Ok(replica.heldConfiguration.takeIf { it.configuration.version > newerThan })
    }

    override suspend fun announce(
        peer: Address,
        version: ConfigurationVersion,
        from: Address,
    ): Result<ConfigurationVersion, PeerError> {
        val replica = reach(peer) ?: return Err(PeerError.Unreachable("cut"))
        return Ok(replica.fetchIfNewer(version, from))
    }

    override suspend fun versionOf(peer: Address): Result<ConfigurationVersion, PeerError> =
        reach(peer)?.let { Ok(it.current.version) } ?: Err(PeerError.Unreachable("cut"))

    private fun reach(peer: Address) = replicas[peer]?.takeIf { peer !in unreachable }
}
