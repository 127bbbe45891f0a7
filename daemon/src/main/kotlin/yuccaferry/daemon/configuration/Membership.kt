// The daemons known to this daemon, itself included.
package yuccaferry.daemon.configuration

import yuccaferry.decisions.configuration.Member

/**
 * The known daemons; a majority of them in each region makes a version accepted.
 *
 * @property self this daemon, with the address at which peers reach it.
 * @property voters members of the regions' voter sets. A majority of each voter set must hold an accepted version too,
 *   because a daemon that can't reach the key-value service continues with the versions that a majority of its voter set has.
 */
data class Membership(
    val self: Member,
    val others: List<Member> = emptyList(),
    val voters: List<Member> = emptyList(),
) {
    /** All known daemons. */
    val all: List<Member> get() = others + self

    /** The other daemons of this daemon's region. */
    val regionPeers: List<Member> get() = others.filter { it.region == self.region }
}
