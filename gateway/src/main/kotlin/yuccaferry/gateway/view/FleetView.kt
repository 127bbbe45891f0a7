// This daemon's view of the fleet: the configuration, the targets, the zones out of service, and the number of daemons.
package yuccaferry.gateway.view

import kotlinx.coroutines.CompletableDeferred
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.routing.RoutingConfiguration
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName

/** The fleet as last read from the platform; confined to the event loop. */
class FleetView(
    private val telemetry: Telemetry,
) {
    private val targets = HashMap<TargetId, Target>()
    private val unlisted = HashSet<TargetId>()
    private var byService: Map<ServiceName, List<Target>> = emptyMap()

    /** The newest configuration, or null before the first; never replaced by an older version. */
    var configuration: RoutingConfiguration? = null
        private set

    /** Zones that receive no new work. */
    var zonesOut: Set<ZoneName> = emptySet()
        private set

    /** Number of live daemons, including this one. */
    var daemons: Int = ASSUMED_DAEMONS
        private set

    private val firstView = CompletableDeferred<Unit>()

    /** Whether a configuration and the platform's list of targets have been read. */
    val isReady: Boolean get() = firstView.isCompleted

    /** Puts [next] into force unless the current version is the same or newer. */
    fun accept(next: RoutingConfiguration) {
        val current = configuration
        if (current != null && next.version <= current.version) return
        configuration = next
        telemetry.event(
            "configuration_accepted",
            Field("version", next.version),
            Field("previous", current?.version),
            Field("routes", next.routeCount),
        )
    }

    /** Replaces the zones out of service. */
    fun setZonesOut(zones: Set<ZoneName>) {
        if (zones == zonesOut) return
        zonesOut = zones
        telemetry.event("zones_out", Field("zones", zones.joinToString(",")))
    }

    /** Replaces the number of live daemons. */
    fun setDaemons(count: Int) {
        if (count == daemons) return
        telemetry.event("daemons_counted", Field("count", count), Field("previous", daemons))
        daemons = count
    }

    /** Records that the platform's list has been read completely, which makes this view ready if there is a configuration. */
    fun markListed() {
        if (configuration != null) firstView.complete(Unit)
    }

    /** Suspends until [isReady]. */
    suspend fun awaitReady() = firstView.await()

    /** Adds or replaces a target, which then counts as listed. */
    fun putTarget(target: Target) {
        val before = targets.put(target.id, target)
        unlisted -= target.id
        if (before == null || before.isLeaving != target.isLeaving || before.incarnation != target.incarnation) {
            telemetry.event(
                "target_changed",
                Field("target", target.id),
                Field("address", target.hostPort),
                Field("service", target.service),
                Field("leaving", target.isLeaving),
                Field("run", target.incarnation),
            )
        }
        byService = emptyMap()
    }

    /** Removes a target; does nothing if it is unknown. */
    fun removeTarget(id: TargetId) {
        val target = targets.remove(id) ?: return
        unlisted -= id
        byService = emptyMap()
        telemetry.event("target_gone", Field("target", id), Field("address", target.hostPort))
    }

    /**
     * Records that [id] is missing from the platform's list, possibly only for a time: either the target has left, or an outage kept it
     * from being listed.
     */
    fun markUnlisted(id: TargetId) {
        if (id !in targets || !unlisted.add(id)) return
        telemetry.event("target_doubted", Field("target", id))
    }

    /**
     * Returns the targets of [service] that may receive new work, ordered by id. Includes unlisted targets only while they outnumber the
     * listed ones, because an outage is then the likely cause.
     */
    fun usable(service: ServiceName): List<Target> {
        if (byService.isEmpty()) byService = targets.values.sortedBy { it.id.value }.groupBy { it.service }
        val working = byService[service].orEmpty().filter { !it.isLeaving }
        val listed = working.filter { it.id !in unlisted }
        return (if (listed.size * 2 >= working.size) listed else working).filter { it.zone !in zonesOut }
    }

    private companion object {
        /** Number of daemons assumed before the first count: more than a site has, so that shares of common limits are not too large. */
        const val ASSUMED_DAEMONS = 64
    }
}
