// JSON documents of the admin API about the configuration, shared by the daemon and the command-line client.
package yuccaferry.model.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.RegionName

/**
 * One difference between two operators' files.
 *
 * @property path JSON path of the value; indexes are those of the later file, or of the earlier one for a removed entry.
 * @property from the earlier value, null when there was none.
 * @property to the later value, null when there is none.
 */
@Serializable
data class FileChange(
    val path: String,
    val from: JsonElement? = null,
    val to: JsonElement? = null,
)

/** Progress of a configuration change. */
@Serializable
enum class ChangeState {
    /** A majority of the daemons of each region has the change; it can't be lost, and no daemon serves without it for long. */
    @SerialName("accepted")
    ACCEPTED,

    /** The change is stored and will come into force, but too few daemons have confirmed it so far. */
    @SerialName("pending")
    PENDING,
}

/** Response to a change that was stored. */
@Serializable
data class ChangeAnswer(
    val version: ConfigurationVersion,
    val state: ChangeState,
)

/** Differences from version [base] to a file that is not applied. */
@Serializable
data class FileDiff(
    val base: ConfigurationVersion,
    val changes: List<FileChange>,
)

/**
 * One daemon of the fleet.
 *
 * @property version configuration in force at the daemon, null when the daemon could not be reached.
 */
@Serializable
data class FleetMember(
    val address: Address,
    val region: RegionName,
    val version: ConfigurationVersion?,
)

/** All daemons known to the responding daemon, itself included. */
@Serializable
data class FleetAnswer(
    val version: ConfigurationVersion,
    val members: List<FleetMember>,
)
