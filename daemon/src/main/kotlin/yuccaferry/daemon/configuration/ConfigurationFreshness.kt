/*
 * Checks that the configuration in force on this daemon is at most a few seconds old, so that this daemon may decide
 * over targets. Either the key-value service confirmed it recently, or a majority of the region's voter set recently
 * extended this daemon's lease and reported no newer version. An accepted version is held by a majority of each voter
 * set, so one of these voters would have reported it.
 */
package yuccaferry.daemon.configuration

import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.port.Clock
import yuccaferry.model.MonotonicTime

/** Maximum age of a confirmation that counts. */
private const val MAX_CONFIRMATION_AGE_MILLIS = 4_000L

/** Checks the age of the configuration that [replica] holds. */
class ConfigurationFreshness(
    private val replica: ConfigurationReplica,
    private val shardTable: () -> ShardTable,
    private val clock: Clock,
) {
    /** Whether this daemon may make decisions with its configuration now. */
    val isFresh: Boolean
        get() {
            val table = shardTable()
            if (!replica.settled.value || replica.current.version < table.requiredConfigurationVersion) return false
            return isRecent(replica.lastConfirmed) || isRecent(table.extendedAsOf)
        }

    private fun isRecent(confirmed: MonotonicTime?): Boolean = confirmed != null && clock.now() - confirmed <= MAX_CONFIRMATION_AGE_MILLIS
}
