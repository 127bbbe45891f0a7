// Port to other daemons, through which configurations are distributed without the key-value service.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion

/**
 * A configuration as a daemon holds it.
 *
 * @property revision revision of the head record that it was read from, zero when that is not known. A daemon that
 * takes the configuration over needs to read only what was written after it.
 */
data class HeldConfiguration(
    val configuration: Configuration,
    val revision: Long,
)

/** Calls to other daemons about their configurations, each with a timeout and without retries. */
interface ConfigurationPeers {
    /**
     * Fetches the configuration of [peer] if its version is above [newerThan]; null when it is not.
     * A peer that has started and has not yet confirmed that it holds the newest version refuses.
     */
    suspend fun fetch(
        peer: Address,
        newerThan: ConfigurationVersion,
    ): Result<HeldConfiguration?, PeerError>

    /**
     * Announces to [peer] that [from], an address of this daemon, holds [version].
     * The peer fetches it if its own version is lower, and answers with the version it holds then.
     */
    suspend fun announce(
        peer: Address,
        version: ConfigurationVersion,
        from: Address,
    ): Result<ConfigurationVersion, PeerError>

    /** Returns the version in force at [peer]. */
    suspend fun versionOf(peer: Address): Result<ConfigurationVersion, PeerError>
}
