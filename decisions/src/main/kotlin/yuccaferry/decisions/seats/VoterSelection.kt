/*
 * Whose attestations should count: up to a fixed number of serving daemons, spread over the availability zones, so
 * that the loss of one zone leaves a majority. Present members are kept where possible.
 */
package yuccaferry.decisions.seats

import yuccaferry.model.DaemonId
import yuccaferry.model.ZoneName

/** Fewest members with which one may fail. */
private const val LEAST_MEMBERS = 3

/** Members of a roster for [daemons] serving daemons: odd, or zero when there are too few for continuation. */
fun rosterSize(
    daemons: Int,
    most: Int,
): Int {
    val size = minOf(daemons, most)
    val odd = if (size % 2 == 0) size - 1 else size
    return if (odd < LEAST_MEMBERS) 0 else odd
}

/**
 * The members that the roster should have.
 *
 * @param kept present members that are still fit, serving or only lately out of sight.
 * @param zones the zone of each of [kept] that is known.
 */
fun selectVoters(
    serving: List<DaemonRecord>,
    kept: List<Voter>,
    zones: Map<DaemonId, ZoneName>,
    most: Int,
): List<Voter> {
    val keptIds = kept.mapTo(HashSet()) { it.id }
    val fresh = serving.filter { it.id !in keptIds }
    val size = rosterSize(fresh.size + kept.size, most)
    if (size == 0) return emptyList()
    val known = serving.associate { it.id to it.zone } + zones
    val perZone =
        loadBound(
            size,
            known.values
                .toSet()
                .size
                .coerceAtLeast(1),
        )
    val order = kept.sortedBy { it.id.value } + fresh.sortedByDescending { weight(ROSTER_KEY, it.id) }.map { Voter(it.id, it.peer) }
    val chosen = ArrayList<Voter>()
    val used = HashMap<ZoneName?, Int>()
    for (member in order) {
        val zone = known[member.id]
        if (chosen.size == size || (used[zone] ?: 0) >= perZone) continue
        chosen += member
        used.merge(zone, 1, Int::plus)
    }
    val rest = order.filter { it !in chosen }
    return chosen + rest.take(size - chosen.size)
}

private const val ROSTER_KEY = "roster"
