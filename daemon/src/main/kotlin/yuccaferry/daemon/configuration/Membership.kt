// The daemons that this one knows of, itself included.
package yuccaferry.daemon.configuration

import yuccaferry.decisions.configuration.Member

/**
 * The daemons whose majority in each region makes a version accepted.
 *
 * @property self this daemon, at the address where peers reach it.
 * @property attesters members of the regions' rosters. A majority of each roster must hold an accepted version too,
 *   as a daemon that is cut off goes on by what a majority of its roster knows.
 */
data class Membership(
    val self: Member,
    val others: List<Member> = emptyList(),
    val attesters: List<Member> = emptyList(),
) {
    /** All known daemons. */
    val all: List<Member> get() = others + self

    /** The other daemons of this daemon's region. */
    val neighbours: List<Member> get() = others.filter { it.region == self.region }
}
