/*
 * Announces a version that was written through this daemon to the other daemons, and counts which hold it. A change is
 * answered as accepted once a majority of each region's daemons and of each voter set hold it. Every later majority of
 * voters then contains one that reports the version, so a partitioned minority can't go on with an older one.
 */
package yuccaferry.daemon.configuration

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.ConfigurationPeers
import yuccaferry.decisions.configuration.heldByMajorities
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.admin.ChangeState
import yuccaferry.model.admin.FleetMember

/** Announces versions to the other daemons. Once the majorities are reached, announcements to the rest continue in [scope]. */
class ConfigurationAnnouncer(
    private val replica: ConfigurationReplica,
    private val peers: ConfigurationPeers,
    private val membership: () -> Membership,
    private val scope: CoroutineScope,
    private val settings: ConfigurationSettings = ConfigurationSettings(),
) {
    /**
     * Announces [version] and waits until a majority of each region and of each voter set holds it,
     * for at most [ConfigurationSettings.acceptMillis].
     */
    suspend fun announce(version: ConfigurationVersion): ChangeState {
        val known = membership()
        val holders = MutableStateFlow(setOf(known.self.address))
        val announcements = known.others.map { scope.launch { announceUntilHeld(it.address, version, known.self.address, holders) } }
        val reached = withTimeoutOrNull(settings.acceptMillis) { holders.first { isAccepted(known, it) } }
        if (reached == null) announcements.forEach { it.cancel() }
        return if (reached == null) ChangeState.PENDING else ChangeState.ACCEPTED
    }

    private fun isAccepted(
        known: Membership,
        holders: Set<Address>,
    ) = heldByMajorities(known.all, holders) && heldByMajorities(known.voters, holders)

    /** Asks every known daemon for the version in force there; null for one that does not answer. */
    suspend fun fleet(): List<FleetMember> {
        val known = membership()
        val own = FleetMember(known.self.address, known.self.region, replica.current.version)
        val others =
            coroutineScope {
                known.others.map { async { FleetMember(it.address, it.region, peers.versionOf(it.address).get()) } }.awaitAll()
            }
        return (others + own).sortedBy { it.address.value }
    }

    private suspend fun announceUntilHeld(
        peer: Address,
        version: ConfigurationVersion,
        self: Address,
        holders: MutableStateFlow<Set<Address>>,
    ) {
        withTimeoutOrNull(settings.acceptMillis) {
            while (true) {
                val held = peers.announce(peer, version, self).get()
                if (held != null) replica.fetchIfNewer(held, peer)
                if (held != null && held >= version) break
                delay(settings.announceRetryMillis)
            }
            holders.update { it + peer }
        }
    }
}
