// Settings for reading and changing the configuration.
package yuccaferry.daemon.configuration

import kotlinx.serialization.Serializable

/**
 * Intervals and limits for reading and changing the configuration.
 *
 * @property pollMillis time between two reads of the head record.
 * @property changeTries number of times a change is tried before it fails.
 * @property backoffMillis upper bound of the wait before the second try of a change; doubles with each further try.
 * @property acceptMillis maximum time for which a change waits for majorities to hold it before it is answered `pending`.
 * @property announceRetryMillis wait before a version is announced again to a daemon that does not hold it yet.
 */
@Serializable
data class ConfigurationSettings(
    val pollMillis: Long = 1_000,
    val changeTries: Int = 6,
    val backoffMillis: Long = 50,
    val acceptMillis: Long = 3_000,
    val announceRetryMillis: Long = 300,
)
