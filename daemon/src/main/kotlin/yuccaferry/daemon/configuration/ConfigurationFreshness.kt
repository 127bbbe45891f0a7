/*
 * Whether the configuration in force here is certain to be no more than a few seconds old, so that this daemon may
 * decide over targets: the key-value service confirmed it lately, or a majority of the region's roster attested
 * that it can't reach the service either and knows no newer version.
 */
package yuccaferry.daemon.configuration

import yuccaferry.daemon.control.SeatTable
import yuccaferry.daemon.port.Clock
import yuccaferry.model.MonotonicTime

/** Age up to which a confirmation counts. */
private const val MOST_AGE_MILLIS = 4_000L

/** Judges the age of what [keeper] holds. */
class ConfigurationFreshness(
    private val keeper: ConfigurationKeeper,
    private val seats: () -> SeatTable,
    private val clock: Clock,
) {
    /** Whether this daemon may decide by its configuration at this moment. */
    val isFresh: Boolean
        get() {
            val table = seats()
            if (!keeper.settled.value || keeper.current.version < table.requiredConfigurationVersion) return false
            return isRecent(keeper.lastConfirmed) || isRecent(table.extendedAsOf)
        }

    private fun isRecent(confirmed: MonotonicTime?): Boolean = confirmed != null && clock.now() - confirmed <= MOST_AGE_MILLIS
}
