// Status and control of one daemon for operators.
package yuccaferry.daemon.admin

import yuccaferry.daemon.configuration.ConfigurationReplica
import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.grants.TargetLoads
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.request.Admission
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.model.AccountEntry
import yuccaferry.model.DaemonId
import yuccaferry.model.RegionName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ControlCost
import yuccaferry.model.admin.DaemonStatus
import yuccaferry.model.admin.ExplainAnswer
import yuccaferry.model.admin.ExplainRequest
import yuccaferry.model.admin.ExplainedTarget
import yuccaferry.model.admin.PeerStatus
import yuccaferry.model.admin.Readiness
import yuccaferry.model.admin.ShardStatus
import yuccaferry.model.admin.TargetStatus

/** The id of a daemon and where it runs. */
data class DaemonLocation(
    val id: DaemonId,
    val region: RegionName,
    val zone: ZoneName,
)

/** Answers operators' calls about this daemon; [startDrain] starts its graceful shutdown. */
class DaemonView(
    private val location: DaemonLocation,
    private val replica: ConfigurationReplica,
    private val admission: Admission,
    private val shardTable: () -> ShardTable,
    private val directory: TargetDirectory,
    private val targetLoads: TargetLoads,
    private val costs: () -> List<ControlCost>,
    private val failingTasks: () -> List<String>,
    private val startDrain: () -> Unit,
    private val clock: Clock,
    private val telemetry: Telemetry,
) : DaemonOperations {
    override fun readiness(): Readiness {
        val reasons = mutableListOf<String>()
        if (admission.isDraining) reasons += "this daemon is leaving"
        if (!replica.settled.value) reasons += "the newest configuration is not known yet"
        if (replica.current.version.value == 0L) reasons += "no configuration has been applied"
        failingTasks().forEach { reasons += "the task $it has failed or stalled" }
        return Readiness(reasons.isEmpty(), reasons)
    }

    override fun status(): DaemonStatus {
        val table = shardTable()
        val now = clock.now()
        return DaemonStatus(
            daemon = location.id,
            region = location.region,
            zone = location.zone,
            version = replica.current.version,
            zonesOut = replica.current.zonesOut,
            confirmedMillisAgo = replica.lastConfirmed?.let { now - it },
            readiness = readiness(),
            requestsInProgress = admission.inProgress,
            peers = table.members.filter { it.id != location.id }.map { PeerStatus(it.id, it.peer, it.region, heardMillisAgo = null) },
            seats = table.heldShards().mapNotNull { shard -> table.mayDecide(shard)?.let { ShardStatus(shard.region, shard.number, it) } },
            targets = directory.targets.sortedBy { it.id.value }.map { targetStatus(it) },
            costs = costs(),
        )
    }

    private fun targetStatus(target: Target): TargetStatus {
        val view = targetLoads.view(target.id)
        return TargetStatus(
            target = target.id,
            serves = target.serves,
            zone = target.zone,
            warm = view?.takeIf { it.lastReport != null }?.warm,
            requests = view?.outstandingRequests ?: 0,
            limit = view?.requestLimit ?: 0,
        )
    }

    override fun drain(operator: String) {
        telemetry.event("drain_requested", Field("operator", operator))
        startDrain()
    }

    override suspend fun explain(request: ExplainRequest): ExplainAnswer {
        val file = replica.current.file
        val account = file.accounts.firstOrNull { it.name == request.account } ?: return ExplainAnswer("no account \"${request.account}\"")
        if (request.model !in account.serves) return ExplainAnswer("account ${account.name} may not use ${request.model}")
        val targets = directory.targets.filter { it.serves == request.model }.sortedBy { it.id.value }
        val explained = targets.map { explain(it, account, request.promptTokens) }
        val eligible = explained.count { it.eligible }
        return ExplainAnswer("$eligible of ${targets.size} targets that serve ${request.model} may take the request", explained)
    }

    private fun explain(
        target: Target,
        account: AccountEntry,
        promptTokens: Long,
    ): ExplainedTarget {
        val reasons = mutableListOf<String>()
        if (!replica.current.inService(target.zone)) reasons += "zone ${target.zone} is out of service"
        if (replica.current.inService(target.zone) && !directory.inService(target)) reasons += "the target is leaving"
        if (!directory.serves(target, account)) reasons += "account ${account.name} is not served in zone ${target.zone}"
        val capacity = directory.limitsOf(target)?.kvTokens ?: 0
        if (promptTokens > capacity) reasons += "the prompt needs $promptTokens tokens of memory, the target has $capacity"
        if (shardTable().holderOf(target) == null) reasons += "no daemon decides over the target at present"
        return ExplainedTarget(target.id, target.zone, reasons.isEmpty(), reasons.ifEmpty { listOf(describeLoad(target.id)) })
    }

    private fun describeLoad(id: TargetId): String {
        val view = targetLoads.view(id) ?: return "no load has been reported"
        val state = if (view.warm) "warm" else "cold"
        return "$state, ${view.outstandingRequests} of ${view.requestLimit} requests, " +
            "${view.outstandingPrefillTokens} prompt tokens to compute, ${view.heldTokens} tokens held"
    }
}
