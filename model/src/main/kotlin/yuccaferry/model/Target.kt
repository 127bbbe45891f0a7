// Targets, as listed in the platform's instance list.
package yuccaferry.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of program that a target runs. */
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
 * One backend that answers requests.
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
