/*
 * Cache of the control records: daemons, shards and voter sets. Small reads return what was written after the last one;
 * an expired lease shows only in a full read of the region's daemons.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** Control records as read by a daemon of [region]. */
class ControlView(
    private val region: RegionName,
) {
    private val daemonEntries = HashMap<DaemonId, ControlEntry.OfDaemon>()
    private val shardEntries = HashMap<ShardId, ControlEntry.OfShard>()
    private val voterSetEntries = HashMap<RegionName, ControlEntry.OfVoterSet>()
    private val absences = HashMap<DaemonId, Absence>()
    private var fullReadAt: MonotonicTime? = null

    /** Store revision up to which changes were read. */
    var revision = 0L
        private set

    /** Grows whenever the set of daemons, or a record of one, changes. */
    var membershipVersion = 0L
        private set

    /** Grows whenever the record of a shard or a voter set changes. */
    var shardsVersion = 0L
        private set

    /** Records of all known daemons of the fleet. */
    val daemons: List<DaemonRecord> get() = daemonEntries.values.map { it.record }

    /** Number of known daemons of the fleet. */
    val fleetSize: Int get() = daemonEntries.size

    /** Number of known daemons of this region. */
    val regionSize: Int get() = daemonEntries.values.count { it.record.region == region }

    /** Known shards of all regions. */
    val shards: Collection<ControlEntry.OfShard> get() = shardEntries.values

    /** The daemon's record; null when none was read or it is gone. */
    fun daemon(id: DaemonId): DaemonRecord? = daemonEntries[id]?.record

    /** The shard's record; null when none was read. */
    fun shard(shard: ShardId): ControlEntry.OfShard? = shardEntries[shard]

    /** The voter set of this region; empty when none was read. */
    val voterSet: ControlEntry.OfVoterSet get() = voterSetEntries[region] ?: ControlEntry.OfVoterSet(region, VoterSet(), 0)

    /** Voter sets of all regions that have one. */
    val voterSets: Map<RegionName, VoterSet> get() = voterSetEntries.mapValues { it.value.voterSet }

    /** Daemons of this region that may hold shards. */
    fun serving(): List<DaemonRecord> = daemons.filter { it.region == region && it.state == DaemonState.SERVING }

    /** Applies a read of changes. */
    fun apply(contents: StoreAnswer.Contents) {
        contents.entries.forEach(::applyEntry)
        revision = maxOf(revision, contents.revision)
    }

    /** Applies a full read of the region's daemons that was sent at [sentAt] and answered at [now]. */
    fun applyDaemons(
        contents: StoreAnswer.Contents,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        val present = contents.entries.filterIsInstance<ControlEntry.OfDaemon>()
        present.forEach(::applyEntry)
        val ids = present.mapTo(HashSet()) { it.record.id }
        val gone = daemonEntries.values.filter { it.record.region == region && it.record.id !in ids && it.revision <= contents.revision }
        gone.forEach { daemonEntries -= it.record.id }
        if (gone.isNotEmpty()) membershipVersion++
        fullReadAt = sentAt
        absences.keys.removeAll(ids)
        monitoredDaemons().filter { it !in ids }.forEach { recordAbsence(it, sentAt, now) }
        absences.keys.retainAll(monitoredDaemons())
    }

    /** Applies one record unless this or a newer revision of it is known. */
    fun applyEntry(entry: ControlEntry) {
        when (entry) {
            is ControlEntry.OfDaemon -> {
                applyDaemon(entry)
            }

            is ControlEntry.OfShard -> {
                applyShard(entry)
            }

            is ControlEntry.OfVoterSet -> {
                applyVoterSet(entry)
            }
        }
    }

    /** Milliseconds for which full reads have found no record of [daemon], a holder or voter; null while no absence is recorded. */
    fun absentMillis(daemon: DaemonId): Long? = absences[daemon]?.let { it.lastSentAt - it.firstAnsweredAt }

    /** Whether some holder or voter has been absent for less than [graceMillis] so far. */
    fun hasUnconfirmedAbsence(graceMillis: Long): Boolean = absences.values.any { it.lastSentAt - it.firstAnsweredAt < graceMillis }

    /** Whether a full read sent no longer than [withinMillis] ago shows that the lease of [holder] is gone. */
    fun leaseGone(
        holder: LeaseHolder,
        withinMillis: Long,
        now: MonotonicTime,
    ): Boolean = fullReadWithin(withinMillis, now) && daemon(holder.daemon)?.session != holder.session

    /** Whether a full read of the region's daemons was sent no longer than [millis] ago. */
    fun fullReadWithin(
        millis: Long,
        now: MonotonicTime,
    ): Boolean = fullReadAt.let { it != null && now - it <= millis }

    private fun applyDaemon(entry: ControlEntry.OfDaemon) {
        val known = daemonEntries[entry.record.id]
        if (known != null && known.revision >= entry.revision) return
        daemonEntries[entry.record.id] = entry
        absences -= entry.record.id
        membershipVersion++
    }

    /** A new shard record proves that its holder had a lease when it was written, so an earlier absence is void. */
    private fun applyShard(entry: ControlEntry.OfShard) {
        val known = shardEntries[entry.shard]
        if (known != null && known.revision >= entry.revision) return
        shardEntries[entry.shard] = entry
        shardsVersion++
        absences -= entry.record.holder.daemon
    }

    private fun applyVoterSet(entry: ControlEntry.OfVoterSet) {
        val known = voterSetEntries[entry.region]
        if (known != null && known.revision >= entry.revision) return
        voterSetEntries[entry.region] = entry
        shardsVersion++
    }

    private fun monitoredDaemons(): Set<DaemonId> {
        val holders = shardEntries.values.filter { it.shard.region == region }.map { it.record.holder.daemon }
        return holders.toSet() + voterSet.voterSet.members.map { it.id }
    }

    private fun recordAbsence(
        daemon: DaemonId,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        val known = absences[daemon]
        absences[daemon] = known?.copy(lastSentAt = sentAt) ?: Absence(firstAnsweredAt = now, lastSentAt = sentAt)
    }

    private data class Absence(
        val firstAnsweredAt: MonotonicTime,
        val lastSentAt: MonotonicTime,
    )
}
