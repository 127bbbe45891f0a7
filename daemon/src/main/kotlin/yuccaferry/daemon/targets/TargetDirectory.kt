/*
 * The targets of the platform's instance list, with what the configuration says of them. While the list can't
 * be read, the last one stays in use.
 */
package yuccaferry.daemon.targets

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.InstanceList
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.grants.TargetLimits
import yuccaferry.model.AccountEntry
import yuccaferry.model.Configuration
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.TargetState

/** Reads the instance list every [pollMillis]; safe for concurrent use. */
class TargetDirectory(
    private val list: InstanceList,
    private val configuration: () -> Configuration,
    private val telemetry: Telemetry,
    private val pollMillis: Long = 1_000,
) {
    @Volatile
    private var byId: Map<TargetId, Target> = emptyMap()

    /** All targets of the list last read. */
    val targets: Collection<Target> get() = byId.values

    /** The target [id], null when it is not in the list. */
    fun find(id: TargetId): Target? = byId[id]

    /** Follows the list in [scope] until the job is cancelled. */
    fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                refresh()
                delay(pollMillis)
            }
        }

    /** Reads the list once. */
    suspend fun refresh() {
        list
            .read()
            .onSuccess { targets -> byId = targets.associateBy { it.id } }
            .onFailure { telemetry.event("instance_list_unavailable", Field("error", it.message), severity = Severity.WARN) }
    }

    /** Whether [target] may be given new work, by list and configuration. */
    fun inService(target: Target): Boolean {
        val listed = byId[target.id] ?: return false
        return listed.state == TargetState.LIVE && configuration().inService(target.zone)
    }

    /** Whether [account] may be served by [target]. */
    fun serves(
        target: Target,
        account: AccountEntry,
    ): Boolean = account.zones.isEmpty() || target.zone in account.zones

    /** What [target] bears; null when the configuration does not know what it serves. */
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
