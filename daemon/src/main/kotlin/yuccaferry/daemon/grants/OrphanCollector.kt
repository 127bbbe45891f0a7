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

/** Milliseconds after which a missing daemon is forgotten: an hour, above the grace time and the deadlines of requests. */
private const val FORGET_MILLIS = 3_600_000L

/** Cancels work of daemons that have been without a record for [graceMillis]; used by one coroutine at a time per target. */
class OrphanCollector(
    private val shardTable: () -> ShardTable,
    private val engines: EngineClient,
    private val clock: Clock,
    private val telemetry: Telemetry,
    private val graceMillis: Long = 10_000,
) {
    private val missingSince = mutableMapOf<DaemonId, MonotonicTime>()
    private var known = emptySet<DaemonId>()

    /**
     * Records which daemons have lost their record. Called also while this daemon decides over no target, so that the grace
     * time of a dead daemon runs while its shards are taken over.
     */
    fun recordMembers() {
        val table = shardTable()
        synchronized(missingSince) { recordMissing(table) }
    }

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
            val now = recordMissing(table)
            val missing = owners - known
            missing.forEach { missingSince.putIfAbsent(it, now) }
            missing.filter { now - missingSince.getValue(it) >= graceMillis }.toSet()
        }

    /** Updates the known members and the times since which others are missing; returns the time of the update. */
    private fun recordMissing(table: ShardTable): MonotonicTime {
        val now = clock.now()
        val members = table.members.map { it.id }.toSet() + table.self
        (known - members).forEach { missingSince.putIfAbsent(it, now) }
        known = members
        missingSince.entries.removeAll { (id, since) -> id in members || now - since > FORGET_MILLIS }
        return now
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
