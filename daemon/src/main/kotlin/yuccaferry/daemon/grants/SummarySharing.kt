/*
 * Sends summaries of the targets for which this daemon decides to the other daemons of its region. The interval grows
 * with the number of daemons, so that the bytes that one daemon sends stay within a budget.
 */
package yuccaferry.daemon.grants

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.port.GrantPeers
import yuccaferry.daemon.tasks.PeriodicTasks
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.model.Address
import yuccaferry.model.TargetId

/** Sends changed summaries of [decider] to the other members of this daemon's region. */
class SummarySharing(
    private val decider: GrantDecider,
    private val targetLoads: TargetLoads,
    private val shardTable: () -> ShardTable,
    private val peers: GrantPeers,
    private val intervalMillis: Long = 200,
    private val millisPerPeer: Long = 20,
) {
    private var lastSent = mapOf<TargetId, TargetSummary>()

    /** Sends as one of [tasks] until the job is cancelled; the calls run in [scope], so that a slow daemon delays no others. */
    fun start(
        scope: CoroutineScope,
        tasks: PeriodicTasks,
    ): Job =
        tasks.start("sharing", isRequired = false) {
            targetLoads.sync()
            val others = others()
            share(scope, others.map { it.peer })
            maxOf(intervalMillis, others.size * millisPerPeer)
        }

    private fun others() =
        shardTable().let { table ->
            val region = table.members.firstOrNull { it.id == table.self }?.region
            table.members.filter { it.region == region && it.id != table.self }
        }

    private fun share(
        scope: CoroutineScope,
        others: List<Address>,
    ) {
        val summaries = decider.summaries()
        summaries.forEach { targetLoads.update(it) }
        val changed = summaries.filter { lastSent[it.target] != it }
        lastSent = summaries.associateBy { it.target }
        if (changed.isEmpty()) return
        others.forEach { scope.launch { peers.share(it, changed) } }
    }
}
