/*
 * Tells the daemons of a region the state of the targets that this one decides over. The time between two messages
 * grows with the number of daemons, so that the bytes that one daemon sends stay within a budget.
 */
package yuccaferry.daemon.grants

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import yuccaferry.daemon.control.SeatTable
import yuccaferry.daemon.port.GrantPeers
import yuccaferry.decisions.grants.TargetSummary
import yuccaferry.model.Address
import yuccaferry.model.TargetId

/** Shares changed summaries of [decider] with the members of this daemon's region. */
class SummarySharing(
    private val decider: GrantDecider,
    private val board: LoadBoard,
    private val seats: () -> SeatTable,
    private val peers: GrantPeers,
    private val intervalMillis: Long = 200,
    private val millisPerPeer: Long = 20,
) {
    private var sent = mapOf<TargetId, TargetSummary>()

    /** Shares in [scope] until the job is cancelled. */
    fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (true) {
                board.sync()
                val others = others()
                share(this, others.map { it.peer })
                delay(maxOf(intervalMillis, others.size * millisPerPeer))
            }
        }

    private fun others() =
        seats().let { table ->
            val region = table.members.firstOrNull { it.id == table.self }?.region
            table.members.filter { it.region == region && it.id != table.self }
        }

    private fun share(
        scope: CoroutineScope,
        others: List<Address>,
    ) {
        val summaries = decider.summaries()
        summaries.forEach { board.update(it) }
        val changed = summaries.filter { sent[it.target] != it }
        sent = summaries.associateBy { it.target }
        if (changed.isEmpty()) return
        others.forEach { scope.launch { peers.share(it, changed) } }
    }
}
