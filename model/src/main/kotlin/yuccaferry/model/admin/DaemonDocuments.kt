// JSON documents of the admin API about one daemon, shared by the daemon and the command-line client.
package yuccaferry.model.admin

import kotlinx.serialization.Serializable
import yuccaferry.model.AccountName
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.ServiceName
import yuccaferry.model.ShardNumber
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName

/** Whether callers may be routed to a daemon, and the reasons if not. */
@Serializable
data class Readiness(
    val ready: Boolean,
    val reasons: List<String> = emptyList(),
)

/**
 * State of one daemon.
 *
 * @property confirmedMillisAgo time since the key-value service last confirmed the version, null when it never did.
 * @property requestsInProgress number of callers' requests that are not yet answered.
 * @property seats shards that this daemon holds; the field has their former name.
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
    val seats: List<ShardStatus> = emptyList(),
    val targets: List<TargetStatus> = emptyList(),
    val costs: List<ControlCost> = emptyList(),
)

/**
 * Another daemon, as known to this daemon.
 *
 * @property heardMillisAgo time since the last message from it, null when there was none.
 */
@Serializable
data class PeerStatus(
    val daemon: DaemonId,
    val address: Address,
    val region: RegionName,
    val heardMillisAgo: Long?,
)

/**
 * A shard that this daemon holds.
 *
 * @property seat number of the shard; the field has its former name.
 */
@Serializable
data class ShardStatus(
    val region: RegionName,
    val seat: ShardNumber,
    val epoch: Epoch,
)

/**
 * A target's state, as known to this daemon.
 *
 * @property warm whether it can take full load, null when no load report of it has arrived.
 * @property requests number of this daemon's requests that run on it.
 * @property limit maximum number of concurrent requests on it.
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
 * Cost to this daemon, since its start, of one kind of control-plane work.
 *
 * @property kind name of the kind, such as `store_reads`, `store_writes`, `peer_calls`.
 */
@Serializable
data class ControlCost(
    val kind: String,
    val calls: Long,
    val bytes: Long,
    val cpuMillis: Long = 0,
)

/**
 * A hypothetical request whose routing an operator asks to have explained.
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
 * Routing of a hypothetical request.
 *
 * @property outcome summary in one sentence.
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
