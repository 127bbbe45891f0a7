// The configuration as the shard control reads it.
package yuccaferry.daemon.configuration

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import yuccaferry.daemon.control.ConfigurationView
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName

/** View of the configuration that [replica] holds; newer versions are fetched in [scope]. */
class ShardConfigurationView(
    private val replica: ConfigurationReplica,
    private val scope: CoroutineScope,
) : ConfigurationView {
    override val version: ConfigurationVersion get() = replica.current.version

    override fun regionOf(zone: ZoneName): RegionName? =
        replica.current.file.zones
            .firstOrNull { it.name == zone }
            ?.region

    override fun newerVersionAt(
        peer: Address,
        version: ConfigurationVersion,
    ) {
        scope.launch { replica.fetchIfNewer(version, peer) }
    }
}
