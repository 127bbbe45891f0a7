// This daemon's view of the fleet: the configuration, the targets, the zones out of service, and the live daemons.
package yuccaferry.gateway.view

import kotlinx.coroutines.CompletableDeferred
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.Severity
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
    private val usableTargets = HashMap<ServiceName, UsableTargets>()

    /** Called with each target that was added or changed, and what was listed before: null if it is new. */
    internal var onTarget: (Target?, Target) -> Unit = { _, _ -> }

    /** The newest configuration, or null before the first; never replaced by an older version. */
    var configuration: RoutingConfiguration? = null
        private set

    /** Zones that receive no new work. */
    var zonesOut: Set<ZoneName> = emptySet()
        private set

    /** Highest number of live daemons in the last seconds, including this one; shares of common limits are based on it. */
    var daemons: Int = ASSUMED_DAEMONS
        private set

    /** The live daemons, ordered by name; empty before the first listing. */
    var members: List<Member> = emptyList()
        private set

    private val firstView = CompletableDeferred<Unit>()

    /** Whether a configuration and the platform's list of targets have been read. */
    val isReady: Boolean get() = firstView.isCompleted

    /** Puts [next] into force unless the current version is the same or newer. */
    fun accept(next: RoutingConfiguration) {
        val current = configuration
        if (current != null && next.version < current.version) {
            val fields = arrayOf(Field("version", current.version), Field("offered", next.version))
            telemetry.event("configuration_kept", *fields, severity = Severity.WARN)
        }
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
        usableTargets.clear()
        telemetry.event("zones_out", Field("zones", zones.joinToString(",")))
    }

    /** Replaces the live daemons; [count] is the highest number of them in the last seconds. */
    fun setMembers(
        live: Collection<Member>,
        count: Int,
    ) {
        val sorted = live.sortedBy { it.name.value }
        if (sorted != members) members = sorted
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
        val before = targets[target.id]
        if (before != null && before.isSameAs(target) && target.id !in unlisted) return
        targets[target.id] = target
        onTarget(before, target)
        unlisted -= target.id
        usableTargets.clear()
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
    }

    /**
     * Like [putTarget], for an entry that may be older than the last one: a run that is leaving doesn't take it back, because an entry
     * from before it began to leave looks the same.
     */
    fun restoreTarget(target: Target) {
        val before = targets[target.id]
        val isLeaving = before != null && before.incarnation == target.incarnation && before.isLeaving
        putTarget(if (isLeaving) target.leaving() else target)
    }

    /** Removes a target; does nothing if it is unknown. */
    fun removeTarget(id: TargetId) {
        val target = targets.remove(id) ?: return
        unlisted -= id
        usableTargets.clear()
        telemetry.event("target_gone", Field("target", id), Field("address", target.hostPort))
    }

    /**
     * Records that [id] is missing from the platform's list, possibly only for a time: either the target has left, or an outage kept it
     * from being listed.
     */
    fun markUnlisted(id: TargetId) {
        if (id !in targets || !unlisted.add(id)) return
        usableTargets.clear()
        telemetry.event("target_doubted", Field("target", id))
    }

    /**
     * Returns the targets of [service] that may receive new work. Includes unlisted targets only while they outnumber the listed ones,
     * because an outage is then the likely cause.
     */
    fun usable(service: ServiceName): UsableTargets =
        usableTargets.getOrPut(service) {
            val working = targets.values.filter { it.service == service && !it.isLeaving }.sortedBy { it.id.value }
            val listed = working.filter { it.id !in unlisted }
            UsableTargets((if (listed.size * 2 >= working.size) listed else working).filter { it.zone !in zonesOut })
        }

    private companion object {
        /** Number of daemons assumed before the first count: more than a site has, so that shares of common limits are not too large. */
        const val ASSUMED_DAEMONS = 64
    }
}
