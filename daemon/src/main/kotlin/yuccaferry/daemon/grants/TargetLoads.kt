// The last reported load of every target that this daemon may use, grouped by what the target serves.
package yuccaferry.daemon.grants

import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.targets.TargetDirectory
import yuccaferry.decisions.grants.TargetLimits
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.decisions.placement.Demand
import yuccaferry.decisions.placement.PlacementPolicy
import yuccaferry.decisions.placement.TargetTable
import yuccaferry.decisions.placement.TargetView
import yuccaferry.model.EngineLimits
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import java.util.concurrent.atomic.AtomicLong

/** Load of all targets; safe for concurrent use. */
class TargetLoads(
    private val directory: TargetDirectory,
    private val policy: PlacementPolicy,
    private val clock: Clock,
) {
    private val tables = mutableMapOf<ServiceName, TargetTable>()
    private val turn = AtomicLong()

    /** Adds and removes targets to match the instance list. */
    fun sync() =
        synchronized(tables) {
            val listed = directory.targets.groupBy { it.serves }
            tables.keys.removeAll { it !in listed }
            for ((name, targets) in listed) {
                val table = tables.getOrPut(name) { TargetTable() }
                val ids = targets.map { it.id }.toSet()
                table.views
                    .map { it.id }
                    .filterNot { it in ids }
                    .forEach { table.remove(it) }
                targets.filter { table[it.id] == null }.forEach { target -> viewOf(target)?.let { table.put(it) } }
            }
        }

    /** Updates the load of one target from a [summary] of its decider. */
    fun update(summary: TargetSummary) =
        synchronized(tables) {
            val target = directory.find(summary.target) ?: return
            val table = tables.getOrPut(target.serves) { TargetTable() }
            val view = table[target.id] ?: viewOf(target) ?: return
            table.put(
                view.copy(
                    outstandingRequests = summary.running + summary.waiting,
                    outstandingPrefillTokens = summary.prefillTokens,
                    heldTokens = summary.heldTokens,
                    longPrefills = summary.longPrefills,
                    warm = summary.warm,
                    lastReport = clock.now(),
                ),
            )
        }

    /** Returns the targets for [demand] that [eligible] accepts, best first. */
    fun rank(
        demand: Demand,
        eligible: (Target) -> Boolean,
    ): List<Target> =
        synchronized(tables) {
            val table = tables[demand.serves] ?: return emptyList()
            policy
                .rank(demand, table, turn.getAndIncrement()) { view -> directory.find(view.id)?.let(eligible) ?: false }
                .mapNotNull { directory.find(it) }
        }

    /** Returns the view of [id]; null when there is none. */
    fun view(id: TargetId): TargetView? = synchronized(tables) { tables.values.firstNotNullOfOrNull { it[id] } }

    private fun viewOf(target: Target): TargetView? {
        val limits = directory.limitsOf(target) ?: return null
        return TargetView(target.id, target.zone, target.kind, target.serves, engineLimits(limits), warm = !limits.observable)
    }

    private fun engineLimits(limits: TargetLimits) =
        EngineLimits(limits.kvTokens, limits.coldRequests, limits.warmRequests, limits.longPrefills)
}
