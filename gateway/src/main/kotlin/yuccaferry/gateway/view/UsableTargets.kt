// The targets of one service that may receive new work.
package yuccaferry.gateway.view

import yuccaferry.model.TargetId
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
    private val byId = all.associateBy { it.id }

    /** Zones that have a target. */
    val zones: Set<ZoneName> get() = byZone.keys

    /** Returns the targets in [zone], ordered by id. */
    fun inZone(zone: ZoneName): List<Target> = byZone[zone].orEmpty()

    /** Returns the zone of the target [id]; null if it isn't one of these. */
    fun zoneOf(id: TargetId): ZoneName? = byId[id]?.zone

    /** Returns the target [id]; null if it isn't one of these. */
    operator fun get(id: TargetId): Target? = byId[id]
}
