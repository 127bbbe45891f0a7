// Targets as the platform's instance list describes them.
package yuccaferry.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What kind of program a target is. */
@Serializable
enum class TargetKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE,
}

/** Whether a target may be given new work. */
@Serializable
enum class TargetState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/**
 * One back end that answers requests.
 *
 * @property serves the model or plain service whose requests it answers.
 */
@Serializable
data class Target(
    val id: TargetId,
    val kind: TargetKind,
    val serves: ServiceName,
    val zone: ZoneName,
    val address: Address,
    val state: TargetState = TargetState.LIVE,
)
