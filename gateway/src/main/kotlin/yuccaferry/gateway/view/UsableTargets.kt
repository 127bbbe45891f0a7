// The targets of one service that may receive new work.
package yuccaferry.gateway.view

import yuccaferry.model.ZoneName

/**
 * Targets that may receive new work.
 *
 * @property all the targets, ordered by id, so that all daemons list them in the same order.
 */
class UsableTargets(
    val all: List<Target>,
) {
    private val byZone = all.groupBy { it.zone }

    /** Zones that have a target. */
    val zones: Set<ZoneName> get() = byZone.keys

    /** Returns the targets in [zone], ordered by id. */
    fun inZone(zone: ZoneName): List<Target> = byZone[zone].orEmpty()
}
