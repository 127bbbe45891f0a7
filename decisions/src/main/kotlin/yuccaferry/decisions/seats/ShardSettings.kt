// Times and sizes of the control of seats, with their units.
package yuccaferry.decisions.seats

/**
 * Settings that must be equal on all daemons of a fleet.
 *
 * @property seatsPerRegion seats into which a region's targets are divided.
 * @property leaseMillis time to live of a daemon's lease.
 * @property leaseMarginMillis a lease counts as lapsed this long before its end, for clocks that run at unequal rates.
 * @property extensionMillis validity of one attestation, from before it was asked for.
 * @property extensionMarginMillis a claimant waits this much longer than the remaining validity.
 * @property grantWindowMillis longest time between the giving and the last use of a grant; waited out after a claim.
 * @property absenceGraceMillis a daemon record must have been seen absent for this long before its seats are claimed.
 * @property maxExtensionMillis longest time for which a daemon without a lease acts or attests.
 * @property voterGraceMillis a roster member must have been seen absent for this long before it is replaced.
 * @property rosterSize most members of a roster.
 * @property pollMillis least time between two reads of changes by one daemon.
 * @property fullReadMillis least time between two full reads of a region's daemons by one daemon.
 * @property storeReadsPerSecond reads of changes by all daemons together, which lengthens the poll of a large fleet.
 * @property storeOverdueMillis attestations are asked for when an answer from the store is later than the poll by this.
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
    val rosterSize: Int = 9,
    val pollMillis: Long = 1_000,
    val fullReadMillis: Long = 3_000,
    val storeReadsPerSecond: Int = 200,
    val storeOverdueMillis: Long = 1_000,
) {
    /** Time between two reads of changes by one daemon of a fleet of [daemons]. */
    fun pollIntervalMillis(daemons: Int): Long = maxOf(pollMillis, daemons * MILLIS_PER_SECOND / storeReadsPerSecond)

    /** Time between two full reads of the daemons of a region of [daemons], so that its bytes don't grow with the region. */
    fun fullReadIntervalMillis(daemons: Int): Long = maxOf(fullReadMillis, daemons * FULL_READ_MILLIS_PER_DAEMON)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val FULL_READ_MILLIS_PER_DAEMON = 240L
    }
}

/** Longest time in milliseconds between the giving of a grant and its last use. */
const val GRANT_WINDOW_MILLIS = 2_000L
