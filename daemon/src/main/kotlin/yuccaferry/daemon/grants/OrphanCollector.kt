/*
 * Frees the work of dead daemons on engines. A daemon's record exists as long as its lease. A daemon counts as dead when
 * it has had no record for longer than all daemons need to write theirs again after the key-value service restarts.
 */
package yuccaferry.daemon.grants

import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.port.Clock
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.HeldItem
import yuccaferry.daemon.port.HeldKind
import yuccaferry.daemon.port.HeldWork
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.Target

/** Cancels work of daemons that have been without a record for [graceMillis]; used by one coroutine at a time per target. */
class OrphanCollector(
    private val shardTable: () -> ShardTable,
    private val engines: EngineClient,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val graceMillis: Long = 10_000,
) {
    private val missingSince = mutableMapOf<DaemonId, MonotonicTime>()

    /** Frees the orphaned items of [held], which lists everything that [target] holds. */
    suspend fun collect(
        target: Target,
        held: HeldWork,
    ) {
        val table = shardTable()
        if (table.mayDecide(target) == null) return
        val dead = findDead(held.items.map { it.owner }.toSet(), table)
        held.items.filter { it.owner in dead }.forEach { free(target, it) }
    }

    private fun findDead(
        owners: Set<DaemonId>,
        table: ShardTable,
    ): Set<DaemonId> =
        synchronized(missingSince) {
            val now = clock.now()
            val members = table.members.map { it.id }.toSet() + table.self
            missingSince.keys.removeAll { it in members }
            val missing = owners - members
            missing.forEach { missingSince.putIfAbsent(it, now) }
            missing.filter { now - missingSince.getValue(it) >= graceMillis }.toSet()
        }

    private suspend fun free(
        target: Target,
        item: HeldItem,
    ) {
        telemetry.event(
            "orphan_freed",
            Field("target", target.id),
            Field("kind", item.kind),
            Field("id", item.id),
            Field("owner", item.owner),
            Field("tokens", item.tokens),
            severity = Severity.WARN,
        )
        when (item.kind) {
            HeldKind.REQUEST -> engines.cancel(target, RequestId(item.id))
            HeldKind.SEGMENT -> engines.releaseGang(target, item.id)
            HeldKind.EXPORT -> engines.releaseExport(target, item.id)
        }
    }
}
