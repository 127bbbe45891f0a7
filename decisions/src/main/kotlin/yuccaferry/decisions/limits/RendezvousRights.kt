/*
 * Gives a right that only a few of many daemons may have to those with the highest hashes for it (rendezvous hashing), so that
 * daemons agree on the holders without messages, and few holders change when a daemon joins or leaves.
 */
package yuccaferry.decisions.limits

import com.dynatrace.hash4j.hashing.Hashing
import yuccaferry.model.DaemonName
import yuccaferry.model.TargetId

/** Returns whether [own] is one of the [holders] daemons among [members] that hold the right over [target]. */
fun holdsRight(
    own: DaemonName,
    target: TargetId,
    members: Collection<DaemonName>,
    holders: Int,
): Boolean {
    if (own !in members) return false
    val score = rightScore(own, target)
    return members.count { it != own && rightScore(it, target) > score } < holders
}

private fun rightScore(
    daemon: DaemonName,
    target: TargetId,
): Long = Hashing.komihash5_0().hashCharsToLong("${daemon.value} ${target.value}")
