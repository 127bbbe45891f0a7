/*
 * Selection of voters: up to a fixed number of serving daemons, spread over the availability zones, so that the loss of
 * one zone leaves a majority. Present members are kept where possible.
 */
package yuccaferry.decisions.shards

import yuccaferry.model.DaemonId
import yuccaferry.model.ZoneName

/** Smallest voter set in which one member may fail. */
private const val MIN_VOTERS = 3

/** Size of the voter set for [daemons] serving daemons: odd, or zero when there are too few to extend leases. */
fun voterCount(
    daemons: Int,
    maxVoters: Int,
): Int {
    val size = minOf(daemons, maxVoters)
    val odd = if (size % 2 == 0) size - 1 else size
    return if (odd < MIN_VOTERS) 0 else odd
}

/**
 * Returns the members that the voter set should have.
 *
 * @param kept present members that may stay: they are serving, or have been absent for a short time only.
 * @param zones known zones of [kept].
 */
fun selectVoters(
    serving: List<DaemonRecord>,
    kept: List<Voter>,
    zones: Map<DaemonId, ZoneName>,
    maxVoters: Int,
): List<Voter> {
    val keptIds = kept.mapTo(HashSet()) { it.id }
    val candidates = serving.filter { it.id !in keptIds }
    val size = voterCount(candidates.size + kept.size, maxVoters)
    if (size == 0) return emptyList()
    val zoneOf = serving.associate { it.id to it.zone } + zones
    val maxPerZone =
        loadBound(
            size,
            zoneOf.values
                .toSet()
                .size
                .coerceAtLeast(1),
        )
    val order = kept.sortedBy { it.id.value } + candidates.sortedByDescending { weight(VOTER_SET_KEY, it.id) }.map { Voter(it.id, it.peer) }
    val chosen = ArrayList<Voter>()
    val countByZone = HashMap<ZoneName?, Int>()
    for (member in order) {
        val zone = zoneOf[member.id]
        if (chosen.size == size || (countByZone[zone] ?: 0) >= maxPerZone) continue
        chosen += member
        countByZone.merge(zone, 1, Int::plus)
    }
    val rest = order.filter { it !in chosen }
    return chosen + rest.take(size - chosen.size)
}

private const val VOTER_SET_KEY = "roster"
