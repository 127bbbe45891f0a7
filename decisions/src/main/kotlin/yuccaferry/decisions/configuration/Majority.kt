/*
 * Quorums: when a version counts as accepted, and when a daemon that starts without the key-value
 * service may serve. Any set of daemons that makes a version accepted shares a member with any set
 * that a starting daemon has to query, so the starting daemon receives every accepted version.
 */
package yuccaferry.decisions.configuration

import yuccaferry.model.Address
import yuccaferry.model.RegionName

/** A daemon that is known to be running. */
data class Member(
    val address: Address,
    val region: RegionName,
)

/** Returns the smallest majority of [count] members. */
fun majorityOf(count: Int): Int = count / 2 + 1

/** Returns whether a majority of the [members] of each region is among the [holders]. */
fun heldByMajorities(
    members: Collection<Member>,
    holders: Set<Address>,
): Boolean =
    members.groupBy { it.region }.values.all { region ->
        region.count { it.address in holders } >= majorityOf(region.size)
    }

/**
 * Returns the number of other members of its region that must answer a starting daemon before it has every accepted
 * version; [count] includes the daemon itself. Its own earlier run may have been counted for an accepted version, so
 * it does not count itself, and members that are starting as well must not answer.
 */
fun answersToStart(count: Int): Int = count - majorityOf(count) + 1
