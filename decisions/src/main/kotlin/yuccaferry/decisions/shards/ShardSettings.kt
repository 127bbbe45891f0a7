// Times and sizes of shard control, with their units.
package yuccaferry.decisions.shards

/**
 * Settings that must be equal on all daemons of a fleet.
 *
 * @property shardsPerRegion shards into which a region's targets are divided.
 * @property leaseMillis time to live of a daemon's lease.
 * @property leaseMarginMillis a lease counts as expired this long before its end, as clocks run at unequal rates.
 * @property extensionMillis validity of one lease extension, from before its request was sent.
 * @property extensionMarginMillis a takeover or a change of the voter set waits this much longer than the remaining validity of extensions.
 * @property grantWindowMillis longest time between the issue and the last use of a grant; a takeover waits for it.
 * @property absenceGraceMillis a daemon's record must have been absent for this long before its shards are taken over.
 * @property maxExtensionMillis longest time for which a daemon without a lease acts or extends leases.
 * @property voterGraceMillis a voter's record must have been absent for this long before the voter is replaced.
 * @property maxVoters largest size of a voter set.
 * @property pollMillis minimum time between two reads of changes by one daemon.
 * @property fullReadMillis minimum time between two full reads of a region's daemons by one daemon.
 * @property storeReadsPerSecond most reads of changes per second by all daemons together; a large fleet polls less often to stay within it.
 * @property storeOverdueMillis lease extensions are requested when the last answer of the store is older than the poll interval plus this.
 */
data class ShardSettings(
    val shardsPerRegion: Int = 64,
    val leaseMillis: Long = 15_000,
    val leaseMarginMillis: Long = 500,
    val extensionMillis: Long = 5_000,
    val extensionMarginMillis: Long = 250,
    val grantWindowMillis: Long = GRANT_WINDOW_MILLIS,
    val absenceGraceMillis: Long = 4_000,
    val maxExtensionMillis: Long = 3_600_000,
    val voterGraceMillis: Long = 10_000,
    val maxVoters: Int = 9,
    val pollMillis: Long = 1_000,
    val fullReadMillis: Long = 3_000,
    val storeReadsPerSecond: Int = 200,
    val storeOverdueMillis: Long = 1_000,
) {
    /** Time between two reads of changes by one daemon of a fleet of [daemons]. */
    fun pollIntervalMillis(daemons: Int): Long = maxOf(pollMillis, daemons * MILLIS_PER_SECOND / storeReadsPerSecond)

    /** Time between two full reads by one daemon; it grows with the region's [daemons] to keep the bytes read per second constant. */
    fun fullReadIntervalMillis(daemons: Int): Long = maxOf(fullReadMillis, daemons * FULL_READ_MILLIS_PER_DAEMON)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val FULL_READ_MILLIS_PER_DAEMON = 240L
    }
}

/** Longest time in milliseconds between the issue of a grant and its last use. */
const val GRANT_WINDOW_MILLIS = 2_000L
