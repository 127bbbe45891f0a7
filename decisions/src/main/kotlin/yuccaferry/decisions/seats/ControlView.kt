/*
 * What this daemon last read of the control records: daemons, seats and rosters. Changes come with small reads of what
 * was written after the last one; lapsed leases show only in a full read of the region's daemons.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName

/** Control records as seen from a daemon of [region]. */
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

    /** Grows whenever the record of a seat or a roster changes. */
    var shardsVersion = 0L
        private set

    /** All daemons of the fleet that were seen. */
    val daemons: List<DaemonRecord> get() = daemonEntries.values.map { it.record }

    /** Daemons of the fleet. */
    val fleetSize: Int get() = daemonEntries.size

    /** Daemons of this region. */
    val regionSize: Int get() = daemonEntries.values.count { it.record.region == region }

    /** Known seats of all regions. */
    val shards: Collection<ControlEntry.OfShard> get() = shardEntries.values

    /** The daemon's record; null when it was not seen or is gone. */
    fun daemon(id: DaemonId): DaemonRecord? = daemonEntries[id]?.record

    /** The seat's record; null when none was seen. */
    fun shard(shard: ShardId): ControlEntry.OfShard? = shardEntries[shard]

    /** The region's own roster; the empty one when none was written. */
    val voterSet: ControlEntry.OfVoterSet get() = voterSetEntries[region] ?: ControlEntry.OfVoterSet(region, VoterSet(), 0)

    /** Rosters of all regions that have one. */
    val voterSets: Map<RegionName, VoterSet> get() = voterSetEntries.mapValues { it.value.voterSet }

    /** Daemons of the region that may be given seats. */
    fun serving(): List<DaemonRecord> = daemons.filter { it.region == region && it.state == DaemonState.SERVING }

    /** Takes in a read of changes. */
    fun apply(contents: StoreAnswer.Contents) {
        contents.entries.forEach(::note)
        revision = maxOf(revision, contents.revision)
    }

    /** Takes in a full read of the region's daemons that was sent at [sentAt] and answered at [now]. */
    fun applyDaemons(
        contents: StoreAnswer.Contents,
        sentAt: MonotonicTime,
        now: MonotonicTime,
    ) {
        val present = contents.entries.filterIsInstance<ControlEntry.OfDaemon>()
        present.forEach(::note)
        val ids = present.mapTo(HashSet()) { it.record.id }
        val gone = daemonEntries.values.filter { it.record.region == region && it.record.id !in ids && it.revision <= contents.revision }
        gone.forEach { daemonEntries -= it.record.id }
        if (gone.isNotEmpty()) membershipVersion++
        fullReadAt = sentAt
        absences.keys.removeAll(ids)
        candidatesForAbsence().filter { it !in ids }.forEach { absent(it, sentAt, now) }
        absences.keys.retainAll(candidatesForAbsence())
    }

    /** Takes in one record. */
    fun note(entry: ControlEntry) {
        when (entry) {
            is ControlEntry.OfDaemon -> {
                noteDaemon(entry)
            }

            is ControlEntry.OfShard -> {
                noteShard(entry)
            }

            is ControlEntry.OfVoterSet -> {
                noteVoterSet(entry)
            }
        }
    }

    /** For how long [daemon] has been seen without a record by full reads; null while it has one or none was made. */
    fun absentMillis(daemon: DaemonId): Long? = absences[daemon]?.let { it.lastSentAt - it.firstAnsweredAt }

    /** Whether some holder or roster member is absent, but for less than [graceMillis] so far. */
    fun absenceUnsure(graceMillis: Long): Boolean = absences.values.any { it.lastSentAt - it.firstAnsweredAt < graceMillis }

    /** Whether a full read sent no longer than [withinMillis] ago shows that the lease of [holder] is gone. */
    fun leaseGone(
        holder: LeaseHolder,
        withinMillis: Long,
        now: MonotonicTime,
    ): Boolean = readWithin(withinMillis, now) && daemon(holder.daemon)?.session != holder.session

    /** Whether a full read of the region's daemons was sent no longer than [millis] ago. */
    fun readWithin(
        millis: Long,
        now: MonotonicTime,
    ): Boolean = fullReadAt.let { it != null && now - it <= millis }

    private fun noteDaemon(entry: ControlEntry.OfDaemon) {
        val known = daemonEntries[entry.record.id]
        if (known != null && known.revision >= entry.revision) return
        daemonEntries[entry.record.id] = entry
        absences -= entry.record.id
        membershipVersion++
    }

    /** A seat that is newly written shows that its holder had a lease then, so an absence seen before says nothing. */
    private fun noteShard(entry: ControlEntry.OfShard) {
        val known = shardEntries[entry.shard]
        if (known != null && known.revision >= entry.revision) return
        shardEntries[entry.shard] = entry
        shardsVersion++
        absences -= entry.record.holder.daemon
    }

    private fun noteVoterSet(entry: ControlEntry.OfVoterSet) {
        val known = voterSetEntries[entry.region]
        if (known != null && known.revision >= entry.revision) return
        voterSetEntries[entry.region] = entry
        shardsVersion++
    }

    private fun candidatesForAbsence(): Set<DaemonId> {
        val holders = shardEntries.values.filter { it.shard.region == region }.map { it.record.holder.daemon }
        return holders.toSet() + voterSet.voterSet.members.map { it.id }
    }

    private fun absent(
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
