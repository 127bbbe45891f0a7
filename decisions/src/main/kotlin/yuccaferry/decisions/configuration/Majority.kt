/*
 * When a version counts as accepted, and when a daemon that starts without the key-value service
 * knows enough to serve. Any set of daemons that makes a version accepted shares a member with any
 * set that a starting daemon has to ask, so the starting one hears of every accepted version.
 */
package yuccaferry.decisions.configuration

import yuccaferry.model.Address
import yuccaferry.model.RegionName

/** One daemon that is known to run. */
data class Member(
    val address: Address,
    val region: RegionName,
)

/** The least number of [count] members that is more than half of them. */
fun majorityOf(count: Int): Int = count / 2 + 1

/** Whether a majority of the [members] of each region are among the [holders]. */
fun heldByMajorities(
    members: Collection<Member>,
    holders: Set<Address>,
): Boolean =
    members.groupBy { it.region }.values.all { region ->
        region.count { it.address in holders } >= majorityOf(region.size)
    }

/**
 * How many other members of its region, of [count] with itself, a starting daemon has to hear from before it can't
 * miss an accepted version. Its own earlier run may have been counted for that version, so it does not count itself,
 * and members that are starting as well must not answer.
 */
fun answersToStart(count: Int): Int = count - majorityOf(count) + 1
