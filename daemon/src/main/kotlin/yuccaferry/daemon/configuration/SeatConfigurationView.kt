// The configuration as the shard control reads it.
package yuccaferry.daemon.configuration

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import yuccaferry.daemon.control.ConfigurationView
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.RegionName
import yuccaferry.model.ZoneName

/** View of the configuration that [keeper] holds; newer versions are fetched in [scope]. */
class SeatConfigurationView(
    private val keeper: ConfigurationKeeper,
    private val scope: CoroutineScope,
) : ConfigurationView {
    override val version: ConfigurationVersion get() = keeper.current.version

    override fun regionOf(zone: ZoneName): RegionName? =
        keeper.current.file.zones
            .firstOrNull { it.name == zone }
            ?.region

    override fun newerVersionAt(
        peer: Address,
        version: ConfigurationVersion,
    ) {
        scope.launch { keeper.heard(version, peer) }
    }
}
