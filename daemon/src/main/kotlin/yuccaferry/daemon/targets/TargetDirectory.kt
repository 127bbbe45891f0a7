// The targets that the platform lists.
package yuccaferry.daemon.targets

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.Job
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.InstanceList
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.grants.TargetLimits
import yuccaferry.model.AccountEntry
import yuccaferry.model.Configuration
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.TargetState

/**
 * The targets of the platform's instance list, read every [pollMillis], with their settings in the configuration.
 * While the list can't be read, the last one stays in use. Safe for concurrent use.
 */
class TargetDirectory(
    private val list: InstanceList,
    private val configuration: () -> Configuration,
    private val telemetry: Telemetry,
    private val pollMillis: Long = 1_000,
) {
    @Volatile
    private var byId: Map<TargetId, Target> = emptyMap()

    /** All targets of the list that was read last. */
    val targets: Collection<Target> get() = byId.values

    /** The target [id]; null when it is not in the list. */
    fun find(id: TargetId): Target? = byId[id]

    /** Polls the list as one of [tasks] until the returned job is cancelled. */
    fun start(tasks: PeriodicTasks): Job =
        tasks.start("instances") {
            refresh()
            pollMillis
        }

    /** Reads the list once. */
    suspend fun refresh() {
        list
            .read()
            .onSuccess { targets -> byId = targets.associateBy { it.id } }
            .onFailure { telemetry.event("instance_list_unavailable", Field("error", it.message), severity = Severity.WARN) }
    }

    /** Whether [target] may be given new work: it is listed as live and its zone is in service. */
    fun inService(target: Target): Boolean {
        val listed = byId[target.id] ?: return false
        return listed.state == TargetState.LIVE && configuration().inService(target.zone)
    }

    /** Whether [account] may be served in the zone of [target]; an account without zones may be served in all. */
    fun serves(
        target: Target,
        account: AccountEntry,
    ): Boolean = account.zones.isEmpty() || target.zone in account.zones

    /** The load limits of [target]; null when the configuration has no entry for what it serves. */
    fun limitsOf(target: Target): TargetLimits? {
        val file = configuration().file
        return when (target.kind) {
            TargetKind.ENGINE -> {
                val engine = file.models.firstOrNull { it.name == target.serves }?.engine ?: return null
                TargetLimits(engine.kvTokens, engine.coldRequests, engine.warmRequests, engine.longPrefills, observable = true)
            }

            TargetKind.SERVICE -> {
                val requests = file.services.firstOrNull { it.name == target.serves }?.concurrentRequests ?: return null
                TargetLimits(Long.MAX_VALUE, requests, requests, longPrefills = requests, observable = false)
            }
        }
    }
}
