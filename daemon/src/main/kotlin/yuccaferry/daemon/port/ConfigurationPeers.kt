// Port to the other daemons, by which configurations spread without the key-value service.
package yuccaferry.daemon.port

import com.github.michaelbull.result.Result
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion

/**
 * A configuration as a daemon holds it.
 *
 * @property revision revision of the head record that it was read from, zero when that is not known. Who takes the
 * configuration over needs to read only what was written after it.
 */
data class HeldConfiguration(
    val configuration: Configuration,
    val revision: Long,
)

/** Other daemons as holders of configurations. Each call has a timeout and no retries. */
interface ConfigurationPeers {
    /**
     * Asks [peer] for its configuration if that is above [newerThan]; null when it is not.
     * A peer that has started and can't yet tell whether it holds the newest version refuses.
     */
    suspend fun fetch(
        peer: Address,
        newerThan: ConfigurationVersion,
    ): Result<HeldConfiguration?, PeerError>

    /**
     * Tells [peer] that [from], an address of this daemon, holds [version].
     * The peer fetches it if its own is lower, and answers with the version it holds then.
     */
    suspend fun announce(
        peer: Address,
        version: ConfigurationVersion,
        from: Address,
    ): Result<ConfigurationVersion, PeerError>

    /** The version in force at [peer]. */
    suspend fun versionOf(peer: Address): Result<ConfigurationVersion, PeerError>
}
