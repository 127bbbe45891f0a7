package yuccaferry.gateway.peers

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.decisions.quarantine.CrashedRun
import yuccaferry.decisions.quarantine.PartAge
import yuccaferry.decisions.quarantine.PromptCrash
import yuccaferry.decisions.quarantine.PromptQuarantine
import yuccaferry.decisions.quarantine.QuarantineReport
import yuccaferry.decisions.quarantine.promptPartOf
import yuccaferry.gateway.net.EventLoop
import yuccaferry.gateway.view.Member
import yuccaferry.gateway.view.Target
import yuccaferry.model.DaemonName
import yuccaferry.model.Incarnation
import yuccaferry.model.PromptPart
import yuccaferry.model.ServiceName
import yuccaferry.model.TargetId
import yuccaferry.model.ZoneName
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PeerLinkTest {
    private val loop = EventLoop()
    private val zone = ZoneName("z")
    private val deadly = PromptPart("deadly")

    private inner class Peer(
        val name: String,
    ) {
        val quarantine = PromptQuarantine()
        private val targets = TargetKnowledge(NoTelemetry)
        val paces = targets.paces
        val link = PeerLink(loop, DaemonName(name), zone, targets, quarantine, NoTelemetry)
        val member = Member(DaemonName(name), freeAddress().also { onLoop { link.open(it) } }, zone)

        fun findsDeadlyPart() = quarantine.find(listOf(deadly), loop.now()) != null
    }

    private fun <T> onLoop(action: suspend () -> T): T = runBlocking(loop.scope.coroutineContext) { action() }

    private fun freeAddress() =
        DatagramSocket(0, InetAddress.getByName("127.0.0.1")).use { InetSocketAddress(it.localAddress, it.localPort) }

    private fun Peer.awaitDeadlyPart() = onLoop { withTimeoutOrNull(WAIT_MILLIS) { while (!findsDeadlyPart()) delay(POLL_MILLIS) } }

    @AfterTest
    fun close() = loop.close()

    /** Guards against crashes by daemons that just started: peers told them of quarantined parts only once the store listed them. */
    @Test
    fun `a daemon that starts is told of the quarantine by peers that have yet to list it`() {
        val peer = Peer("a")
        onLoop {
            val report = QuarantineReport(crashes = emptyList(), answered = emptyList(), quarantined = listOf(PartAge(deadly, 1_000)))
            peer.quarantine.receive(report, loop.now())
            peer.link.setMembers(listOf(peer.member))
        }
        val started = Peer("b")
        onLoop { started.link.setMembers(listOf(peer.member, started.member)) }
        started.awaitDeadlyPart()
        assertEquals(true, onLoop { started.findsDeadlyPart() })
    }

    /** Guards against replies that are replied to without end. */
    @Test
    fun `daemons that greet each other send a few messages only`() {
        val peers = listOf(Peer("a"), Peer("b"))
        onLoop {
            val report = QuarantineReport(crashes = emptyList(), answered = emptyList(), quarantined = listOf(PartAge(deadly, 1_000)))
            peers.forEach { it.quarantine.receive(report, loop.now()) }
            peers.forEach { peer -> peer.link.setMembers(peers.map { it.member }) }
            delay(CRASH_INTERVAL_MILLIS)
        }
        val sent = peers.sumOf { it.link.sentMessages }
        assertTrue(sent in 2..8, "found $sent messages")
    }

    /** Guards against reports that were longer than the receiver's buffer and dropped, so that each daemon saw all crashes itself. */
    @Test
    fun `a daemon is told of a crash under a prompt with many parts`() {
        val peer = Peer("a")
        val other = Peer("b")
        val prompt = listOf(deadly) + (1..300).map { promptPartOf("$it".repeat(64)) }
        onLoop {
            for (each in listOf(peer, other)) each.link.setMembers(listOf(peer.member, other.member))
            repeat(PromptQuarantine.MIN_CRASHES) {
                peer.quarantine.recordCrash(PromptCrash(CrashedRun(TargetId("t$it"), Incarnation("1")), prompt), loop.now())
                peer.link.reportQuarantine()
                delay(CRASH_INTERVAL_MILLIS)
            }
            for (each in listOf(peer, other)) each.quarantine.recordAnswer(prompt - deadly, loop.now())
            withTimeoutOrNull(WAIT_MILLIS) {
                while (!other.findsDeadlyPart()) {
                    delay(POLL_MILLIS)
                    other.quarantine.update(loop.now())
                }
            }
        }
        assertEquals(true, onLoop { other.findsDeadlyPart() })
    }

    @Test
    fun `a daemon is told of a target that has just started, and of the answers that it gave to others`() {
        val peer = Peer("a")
        val other = Peer("b")
        val started = target("2")
        onLoop {
            for (each in listOf(peer, other)) each.link.setMembers(listOf(peer.member, other.member))
            peer.paces.observe(target("1"), started, loop.now())
            peer.paces.recordFirstEvent(started, predictedMillis = 50.0, sentAt = loop.now(), loop.now())
            withTimeoutOrNull(WAIT_MILLIS) { while (other.paces.isEmpty) delay(POLL_MILLIS) }
        }
        assertEquals(listOf(false, true), onLoop { listOf(2, 1).map { active -> other.paces.allows(started, loop.now()) { active } } })
    }

    private fun target(run: String) =
        Target(
            TargetId("t"),
            Incarnation(run),
            ServiceName("s"),
            freeAddress(),
            zone,
            slots = 8,
            isLeaving = false,
            coldUntil = Target.NOT_COLD,
        )

    private companion object {
        /** Milliseconds to wait for datagrams on loopback, on a busy machine. */
        const val WAIT_MILLIS = 5_000L
        const val POLL_MILLIS = 5L

        /** Milliseconds between crashes: several of the moments that are told apart. */
        const val CRASH_INTERVAL_MILLIS = 5 * PromptQuarantine.MOMENT_MILLIS
    }
}
