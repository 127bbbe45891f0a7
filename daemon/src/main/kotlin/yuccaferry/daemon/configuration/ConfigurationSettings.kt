// Settings of the configuration's use cases.
package yuccaferry.daemon.configuration

import kotlinx.serialization.Serializable

/**
 * How a daemon follows and changes the configuration.
 *
 * @property pollMillis time between two reads of the head record.
 * @property changeTries how often a change is tried before its operator hears that it failed.
 * @property backoffMillis wait before the second try of a change; doubles with each further one.
 * @property acceptMillis how long a change waits for daemons to hold it before it is answered `pending`.
 * @property announceRetryMillis wait before daemons that did not answer are told of a version again.
 */
@Serializable
data class ConfigurationSettings(
    val pollMillis: Long = 1_000,
    val changeTries: Int = 6,
    val backoffMillis: Long = 50,
    val acceptMillis: Long = 3_000,
    val announceRetryMillis: Long = 300,
)
