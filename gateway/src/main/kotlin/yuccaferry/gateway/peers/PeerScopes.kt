/*
 * Decides which peers are told which work. In a small fleet every peer is told everything. In a larger one, the messages about short
 * prompts would grow with the square of the daemons, so only a fixed number of peers in the same zone is told about those; long
 * prompts are far fewer, and every peer is told about them.
 */
package yuccaferry.gateway.peers

import yuccaferry.gateway.view.Member
import yuccaferry.model.DaemonName
import yuccaferry.model.ZoneName

/**
 * The peers of one daemon.
 *
 * @property near peers that are told about all work.
 * @property far peers that are told about long prompts only.
 * @property knownShare share of the zone's daemons, including this one, whose short prompts are known; 1 in a small fleet.
 */
internal class PeerScopes private constructor(
    val near: List<Member>,
    val far: List<Member>,
    val knownShare: Double,
) {
    /** Whether this daemon is told about the work of every other daemon. */
    val isComplete: Boolean get() = far.isEmpty() && knownShare == 1.0

    companion object {
        /** Scopes of a daemon without peers. */
        val NONE = PeerScopes(emptyList(), emptyList(), knownShare = 1.0)

        /** Returns the scopes of the daemon [own] in [zone] among [members], which may include it. */
        fun of(
            own: DaemonName,
            zone: ZoneName,
            members: Collection<Member>,
        ): PeerScopes {
            val peers = members.filter { it.name != own }.sortedBy { it.name.value }
            if (peers.size <= MAX_COMPLETE_PEERS) return PeerScopes(peers, emptyList(), knownShare = 1.0)
            val sameZone = peers.filter { it.zone == zone }
            // Names form a ring, on which each daemon tells the ones that follow it, so that each is told by as many as it tells.
            val (before, after) = sameZone.partition { it.name.value < own.value }
            val near = (after + before).take(MAX_NEAR_PEERS)
            return PeerScopes(near, peers - near.toSet(), knownShare = (near.size + 1.0) / (sameZone.size + 1))
        }

        /** Most peers of a daemon that is told about everything; the messages of more take a noticeable share of a small processor. */
        const val MAX_COMPLETE_PEERS = 24

        /** Most peers in a larger fleet that are told about short prompts. */
        const val MAX_NEAR_PEERS = 20
    }
}
