// Documents of the admin API about one daemon, shared by the daemon and its command line.
package yuccaferry.model.admin

import kotlinx.serialization.Serializable
import yuccaferry.model.AccountName
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.SeatNumber
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName

/** Whether callers may be sent to a daemon, and if not, why. */
@Serializable
data class Readiness(
    val ready: Boolean,
    val reasons: List<String> = emptyList(),
)

/**
 * What one daemon does and knows.
 *
 * @property confirmedMillisAgo how long ago the key-value service confirmed the version, null when it never did.
 * @property requestsInProgress callers' requests that are not yet answered.
 */
@Serializable
data class DaemonStatus(
    val daemon: DaemonId,
    val region: RegionName,
    val zone: ZoneName,
    val version: ConfigurationVersion,
    val zonesOut: Set<ZoneName>,
    val confirmedMillisAgo: Long?,
    val readiness: Readiness,
    val requestsInProgress: Int = 0,
    val peers: List<PeerStatus> = emptyList(),
    val seats: List<SeatStatus> = emptyList(),
    val targets: List<TargetStatus> = emptyList(),
    val costs: List<ControlCost> = emptyList(),
)

/**
 * Another daemon as this one sees it.
 *
 * @property heardMillisAgo time since its last message, null when there was none.
 */
@Serializable
data class PeerStatus(
    val daemon: DaemonId,
    val address: Address,
    val region: RegionName,
    val heardMillisAgo: Long?,
)

/** A seat that this daemon holds. */
@Serializable
data class SeatStatus(
    val region: RegionName,
    val seat: SeatNumber,
    val epoch: Epoch,
)

/**
 * A target as this daemon sees it.
 *
 * @property warm whether it bears full load, null when it has not been heard of.
 * @property requests requests that this daemon has running there.
 * @property limit concurrent requests that it is given at most.
 */
@Serializable
data class TargetStatus(
    val target: TargetId,
    val serves: ServiceName,
    val zone: ZoneName,
    val warm: Boolean?,
    val requests: Int,
    val limit: Int,
)

/**
 * What one kind of control work has cost this daemon since its start.
 *
 * @property kind such as `store_reads`, `store_writes`, `peer_calls`.
 */
@Serializable
data class ControlCost(
    val kind: String,
    val calls: Long,
    val bytes: Long,
    val cpuMillis: Long = 0,
)

/**
 * A request as an operator describes it, to hear where it would go.
 *
 * @property promptTokens length of the prompt in tokens.
 */
@Serializable
data class ExplainRequest(
    val account: AccountName,
    val model: ServiceName,
    val promptTokens: Long = 1_000,
)

/**
 * Where a request would go.
 *
 * @property outcome one sentence on the request as a whole.
 */
@Serializable
data class ExplainAnswer(
    val outcome: String,
    val targets: List<ExplainedTarget> = emptyList(),
)

/** One target that was considered, with the reasons for or against it. */
@Serializable
data class ExplainedTarget(
    val target: TargetId,
    val zone: ZoneName,
    val eligible: Boolean,
    val reasons: List<String>,
)
