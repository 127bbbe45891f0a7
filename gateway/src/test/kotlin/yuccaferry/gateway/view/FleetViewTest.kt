package yuccaferry.gateway.view

import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame

class FleetViewTest {
    private val service = ServiceName("s")
    private val fleet = FleetView(NoTelemetry)

    private fun put(
        id: String,
        zone: String = "a",
        isLeaving: Boolean = false,
        of: ServiceName = service,
    ) = fleet.putTarget(target(id, zone, isLeaving, of))

    private fun target(
        id: String,
        zone: String = "a",
        isLeaving: Boolean = false,
        of: ServiceName = service,
        run: String = "1",
    ) = Target(TargetId(id), Incarnation(run), of, InetSocketAddress("127.0.0.1", 1), ZoneName(zone), 4, isLeaving, MonotonicTime(0))

    private fun usable() = fleet.usable(service).all.map { it.id.value }

    @Test
    fun `lists a service's targets ordered by id`() {
        listOf("c", "a", "b").forEach { put(it) }
        put("other", of = ServiceName("t"))
        assertEquals(listOf("a", "b", "c"), usable())
    }

    @Test
    fun `gives no new work to a target that is leaving or gone`() {
        listOf("a", "b", "c").forEach { put(it) }
        put("a", isLeaving = true)
        fleet.removeTarget(TargetId("b"))
        assertEquals(listOf("c"), usable())
    }

    @Test
    fun `gives no new work to a zone out of service until it is back`() {
        put("a", zone = "x")
        put("b", zone = "y")
        fleet.setZonesOut(setOf(ZoneName("x")))
        assertEquals(listOf("b"), usable())
        fleet.setZonesOut(emptySet())
        assertEquals(listOf("a", "b"), usable())
    }

    @Test
    fun `gives no new work to unlisted targets while they are the minority`() {
        listOf("a", "b", "c").forEach { put(it) }
        fleet.markUnlisted(TargetId("a"))
        assertEquals(listOf("b", "c"), usable())
        put("a")
        assertEquals(listOf("a", "b", "c"), usable())
    }

    @Test
    fun `keeps using unlisted targets while they are the majority`() {
        listOf("a", "b", "c").forEach { put(it) }
        fleet.markUnlisted(TargetId("a"))
        fleet.markUnlisted(TargetId("b"))
        assertEquals(listOf("a", "b", "c"), usable())
        fleet.removeTarget(TargetId("a"))
        assertEquals(listOf("c"), usable())
    }

    @Test
    fun `drops a target from its service when its entry names another service`() {
        put("a")
        put("a", of = ServiceName("t"))
        assertEquals(emptyList(), usable())
    }

    @Test
    fun `a run that is leaving doesn't take it back by an entry that may be older`() {
        listOf("a", "b").forEach { put(it) }
        put("a", isLeaving = true)
        fleet.restoreTarget(target("a"))
        fleet.restoreTarget(target("b"))
        assertEquals(listOf("b"), usable())
        fleet.restoreTarget(target("a", run = "2"))
        assertEquals(listOf("a", "b"), usable())
    }

    @Test
    fun `groups usable targets by zone`() {
        put("a", zone = "x")
        put("b", zone = "y")
        put("c", zone = "x")
        assertEquals(listOf("a", "c"), fleet.usable(service).inZone(ZoneName("x")).map { it.id.value })
        assertEquals(emptyList(), fleet.usable(service).inZone(ZoneName("z")))
    }

    @Test
    fun `keeps its lists while entries are written again without a change`() {
        put("a")
        val before = fleet.usable(service)
        put("a")
        assertSame(before, fleet.usable(service))
    }

    @Test
    fun `tells of each target that is new or changed, with what was listed before`() {
        val told = mutableListOf<Pair<Boolean?, Boolean>>()
        fleet.onTarget = { before, target -> told += before?.isLeaving to target.isLeaving }
        put("a")
        put("a")
        put("a", isLeaving = true)
        assertEquals(listOf(null to false, false to true), told)
    }
}
