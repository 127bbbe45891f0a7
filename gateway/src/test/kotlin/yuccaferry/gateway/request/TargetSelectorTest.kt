package yuccaferry.gateway.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.decisions.dispatch.ReportedLoad
import yuccaferry.decisions.dispatch.TargetHealth
import yuccaferry.decisions.routing.EngineFigures
import yuccaferry.decisions.routing.Rank
import yuccaferry.decisions.routing.RequestKind
import yuccaferry.decisions.routing.Route
import yuccaferry.decisions.routing.ServiceDefinition
import yuccaferry.decisions.routing.TrafficShare
import yuccaferry.decisions.routing.Urgency
import yuccaferry.gateway.GatewayLimits
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.net.IncomingRequest
import yuccaferry.gateway.peers.TargetKnowledge
import yuccaferry.gateway.peers.Work
import yuccaferry.gateway.port.AnswerHead
import yuccaferry.gateway.port.RequestHead
import yuccaferry.gateway.port.TargetNotice
import yuccaferry.gateway.view.FleetView
import yuccaferry.gateway.view.Member
import yuccaferry.gateway.view.Target
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** A daemon in zone a of five, each with 39 engines, that knows the short prompts of its own zone only. */
class TargetSelectorTest {
    private val zones = listOf("a", "b", "c", "d", "e").map { ZoneName(it) }
    private val service = ServiceName("engines")
    private val own = DaemonName("a-1")
    private val now = MonotonicTime(100_000)
    private val fleet = FleetView(NoTelemetry)
    private val limits = { GatewayLimits(1.5, 5.0, 0.2, 260.0, 10.0, 8.0) }
    private val loop = EventLoop()
    private val notices = TargetNotices(loop, own, NoTelemetry)
    private val targets = TargetKnowledge(NoTelemetry)
    private val workTracker = targets.work.also { it.isComplete = false }
    private val health = targets.health
    private val loads = targets.loads
    private val reports = targets.reports
    private val paces = targets.paces
    private val selector = TargetSelector(fleet, targets, notices, own, zones.first(), limits, Random(1))
    private val figures = EngineFigures(10, 405_000, 1.31, 0.000917, 0.00213, 154.0, 0.162, 2_048, 53)

    init {
        for (zone in zones) repeat(ENGINES) { putTarget(zone, it) }
        fleet.setMembers(zones.flatMap { zone -> (1..19).map { member("$zone-$it", zone) } }, count = 95)
    }

    private fun member(
        name: String,
        zone: ZoneName,
    ) = Member(DaemonName(name), InetSocketAddress("127.0.0.1", 1), zone)

    private fun id(
        zone: ZoneName,
        number: Int,
    ) = TargetId("$zone-%02d".format(number))

    private fun putTarget(
        zone: ZoneName,
        number: Int,
        coldUntil: MonotonicTime = Target.NOT_COLD,
    ) = fleet.putTarget(
        Target(id(zone, number), Incarnation("1"), service, InetSocketAddress("127.0.0.1", 1), zone, 10, isLeaving = false, coldUntil),
    )

    private fun request(
        tokens: Long,
        urgency: Urgency? = null,
    ) = AdmittedRequest(
        IncomingRequest("POST", "/", DefaultHttpHeaders(), ByteArray(0)),
        RequestHead(RequestId("r"), "h", null, 10_000, tokens, 500, null),
        Route("r", "h", "/", RequestKind.Stream(true, 300), listOf(TrafficShare(service, 1.0)), 10_000, 400, 2, 1, isPublic = true),
        ServiceDefinition(service, coldStartMillis = 3_000, coldRequestsPerSecond = 14.0, engine = figures),
        account = null,
        version = 1,
        arrival = now,
        deadline = now + 10_000,
        urgency = urgency,
    )

    private fun place(
        tokens: Long = 4_960,
        tried: Set<TargetId> = emptySet(),
    ) = selector.place(request(tokens), figures, tried, now)

    private fun zonesOf(
        tokens: Long = 4_960,
        tried: Set<TargetId> = emptySet(),
    ) = (1..40).map { assertNotNull(place(tokens, tried)).main.zone }.toSet()

    private fun fail(
        zone: ZoneName,
        engines: Int,
    ) = repeat(engines) { health.recordFailure(id(zone, it), Incarnation("1"), TargetHealth.UNREACHABLE_MILLIS, now) }

    @Nested
    inner class `on a calm day` {
        @Test
        fun `short and long prompts stay in the zone`() {
            assertEquals(setOf(zones[0]), zonesOf(tokens = 4_960))
            assertEquals(setOf(zones[0]), zonesOf(tokens = 40_000))
        }

        @Test
        fun `short prompts are spread over the pool`() {
            assertTrue((1..100).map { place()?.main?.id }.toSet().size >= 5)
        }
    }

    @Nested
    inner class `when engines say that they are full` {
        private fun stateFull(number: Int) {
            val load = ReportedLoad(running = 10, waiting = 6, slots = 10)
            loads.record(id(zones[0], number), Incarnation("1"), load, known = 0, now)
        }

        @Test
        fun `short prompts avoid them although nobody told of their requests`() {
            repeat(4) { stateFull(it) }
            val full = (0..3).map { id(zones[0], it) }.toSet()
            assertTrue((1..100).none { assertNotNull(place()).main.id in full })
        }

        @Test
        fun `short prompts go to another zone once all of the zone are`() {
            repeat(ENGINES) { stateFull(it) }
            assertTrue(zones[0] !in zonesOf())
        }

        @Test
        fun `short prompts are spread over the engines of other zones, of which daemons know as little as each other`() {
            repeat(ENGINES) { stateFull(it) }
            val chosen = (1..200).map { assertNotNull(place()).main.id }.groupingBy { it }.eachCount()
            assertTrue(chosen.values.max() <= 200 / 10, "$chosen")
        }

        @Test
        fun `an answer that rejects a request doesn't count it as work of the target`() {
            val target = fleet.usable(service).inZone(zones[0]).first()
            workTracker.begin(Work(target.id, tokens = 1, isLong = false, prefillMillis = 1.0, start = now))
            val notice = TargetNotice(isLeaving = false, pauseMillis = null, invalidHeader = null)
            val load = ReportedLoad(running = 10, waiting = 6, slots = 10)
            selector.recordAnswer(target, AnswerHead(503, emptySet(), false, false, hasNotRun = true, null, notice, load), now)
            assertEquals(16.0, loads.unaccounted(target.id, target.incarnation, now))
        }
    }

    @Nested
    inner class `when the engines of the zone are gone at once` {
        @Test
        fun `a request that met one of them goes to another zone`() {
            assertTrue(zones[0] !in zonesOf(tried = setOf(id(zones[0], 0))))
        }

        @Test
        fun `requests go to other zones after three of them failed`() {
            fail(zones[0], engines = 2)
            assertEquals(setOf(zones[0]), zonesOf())
            fail(zones[0], engines = 3)
            assertTrue(zones[0] !in zonesOf())
        }
    }

    @Nested
    inner class `when the zone is out of service` {
        @Test
        fun `its requests are spread over the other zones`() {
            fleet.setZonesOut(setOf(zones[0]))
            assertEquals(zones.drop(1).toSet(), zonesOf())
        }
    }

    @Nested
    inner class `when all engines return cold` {
        @Test
        fun `some of them may receive a request from this daemon`() {
            for (zone in zones) repeat(ENGINES) { putTarget(zone, it, coldUntil = now + 3_000) }
            assertNotNull(place())
        }
    }

    @Nested
    inner class `when the zone is full of long prompts` {
        @Test
        fun `a short prompt goes to another zone`() {
            repeat(ENGINES) { workTracker.begin(Work(id(zones[0], it), 300_000, isLong = true, prefillMillis = 4_000.0, start = now)) }
            assertNotEquals(zones[0], assertNotNull(place()).main.zone)
        }
    }

    @Nested
    inner class `when an engine has just started` {
        private fun start(
            zone: ZoneName,
            number: Int,
        ) {
            val target = fleet.usable(service).inZone(zone).first { it.id == id(zone, number) }
            val restarted =
                Target(target.id, Incarnation("2"), service, target.address, zone, target.slots, isLeaving = false, Target.NOT_COLD)
            paces.observe(before = target, restarted, now)
            fleet.putTarget(restarted)
        }

        /** Requests whose prompts are read, so that the engine is as good as an idle one for the placement. */
        private fun work(
            zone: ZoneName,
            number: Int,
            requests: Int,
        ) = repeat(requests) {
            val work = Work(id(zone, number), 1_000, isLong = false, prefillMillis = 30.0, start = now)
            workTracker.begin(work)
            workTracker.markPrefilled(work)
        }

        private fun placesOf(times: Int) = (1..times).map { assertNotNull(place()).main.id }.toSet()

        @Test
        fun `it gets no more than it is allowed while other engines are free`() {
            start(zones[0], 0)
            assertTrue(id(zones[0], 0) in placesOf(times = 100))
            work(zones[0], 0, requests = 2)
            assertTrue(id(zones[0], 0) !in placesOf(times = 100))
        }

        @Test
        fun `it gets requests again when all engines have what they are allowed`() {
            for (zone in zones) repeat(ENGINES) { start(zone, it) }
            for (zone in zones) repeat(ENGINES) { work(zone, it, requests = 2) }
            assertNotNull(place())
        }

        @Test
        fun `the others get no more than they process at once while half of the engines are held back`() {
            for (zone in zones) repeat(ENGINES - 1) { start(zone, it) }
            for (zone in zones) repeat(ENGINES - 1) { work(zone, it, requests = 2) }
            val free = zones.map { id(it, ENGINES - 1) }.toSet()
            assertTrue(free.containsAll(placesOf(times = 40)))
            zones.forEach { work(it, ENGINES - 1, requests = 10) }
            assertTrue(placesOf(times = 40).none { it in free })
        }
    }

    @Nested
    inner class `when long prompts are less urgent than short ones` {
        private fun numbersOf(level: Int) =
            (1..200)
                .map {
                    val request = request(tokens = 40_000, Urgency(Rank(level), level, levels = 3))
                    assertNotNull(selector.place(request, figures, emptySet(), now)).main.id
                }.filter { it.value.startsWith("${zones[0]}-") }
                .mapTo(HashSet()) { it.value.substringAfter('-').toInt() }

        /** Nothing is in progress, so the pool of short prompts is a fifth of the zone's engines: the first eight. */
        @Test
        fun `each level keeps off the engines of the more urgent ones`() {
            assertEquals((0 until ENGINES).toSet(), numbersOf(level = 0))
            assertEquals((8 until ENGINES).toSet(), numbersOf(level = 1))
            assertEquals((12 until ENGINES).toSet(), numbersOf(level = 2))
        }
    }

    private companion object {
        const val ENGINES = 39
    }
}
