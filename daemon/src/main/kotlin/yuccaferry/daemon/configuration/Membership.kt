// The daemons that this one knows of, itself included.
package yuccaferry.daemon.configuration

import yuccaferry.decisions.configuration.Member

/**
 * The daemons whose majority in each region makes a version accepted.
 *
 * @property self this daemon, at the address where peers reach it.
 */
data class Membership(
    val self: Member,
    val others: List<Member> = emptyList(),
) {
    /** All known daemons. */
    val all: List<Member> get() = others + self

    /** The other daemons of this daemon's region. */
    val neighbours: List<Member> get() = others.filter { it.region == self.region }
}
