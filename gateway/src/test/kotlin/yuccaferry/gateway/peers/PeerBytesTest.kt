package yuccaferry.gateway.peers

import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import yuccaferry.decisions.dispatch.PeerReports
import yuccaferry.decisions.limits.PaceReport
import yuccaferry.decisions.limits.TargetPace
import yuccaferry.decisions.quarantine.CrashedRun
import yuccaferry.decisions.quarantine.PartAge
import yuccaferry.decisions.quarantine.PromptCrash
import yuccaferry.decisions.quarantine.QuarantineReport
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.PromptPart
import yuccaferry.model.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Feeds mutated datagrams to the decoder of peers' messages; [SEED] and the datagram's number reproduce a failure. */
class PeerBytesTest {
    private val random = Random(SEED)
    private val report =
        QuarantineReport(
            crashes = listOf(PromptCrash(CrashedRun(TargetId("t"), Incarnation("1")), listOf(PromptPart("a"), PromptPart("b")))),
            answered = listOf(PartAge(PromptPart("a"), 20)),
            quarantined = listOf(PartAge(PromptPart("b"), 7)),
        )
    private val limit = PaceReport(TargetId("t"), Incarnation("1"), 3, 2, 8, 1, ageMillis = 40, leftMillis = 9_000)
    private val message =
        WorkMessage(
            daemon = "d",
            start = 1,
            sequence = 1,
            targets = listOf(TargetWork("t", 1, 5, 9, 0)),
            validMillis = 1_500,
            penalties = listOf(ReportedPenalty("t", "1", 900)),
            quarantine = QuarantineMessage.of(report),
            paces = listOf(PaceMessage.of(limit)),
        )
    private val valid = ProtoBuf.encodeToByteArray(message)

    private fun mutated(): ByteArray {
        val bytes = valid.copyOf(random.nextInt(1, valid.size + 8))
        repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        return bytes
    }

    /** Runs [action] on a thread with the stack of the event loop, and throws what it throws. */
    private fun onSmallStack(action: () -> Unit) {
        var thrown: Throwable? = null
        val worker = Thread(null, { thrown = runCatching(action).exceptionOrNull() }, "small", STACK_BYTES)
        worker.start()
        worker.join()
        thrown?.let { throw it }
    }

    /** Guards against a datagram that opens one level after the other until the stack overflows. */
    @Test
    fun `a datagram of one byte repeated is either a message or refused`() =
        onSmallStack { for (value in 0..255) decodeMessage(ByteArray(PeerLink.MAX_DATAGRAM_BYTES) { value.toByte() }) }

    @Test
    fun `a datagram is either a message or refused`() {
        var refused = 0
        onSmallStack {
            repeat(DATAGRAMS) { number ->
                val bytes = if (number % 2 == 0) mutated() else random.nextBytes(random.nextInt(PeerLink.MAX_DATAGRAM_BYTES))
                try {
                    decodeMessage(bytes) ?: refused++
                } catch (escaped: Throwable) {
                    throw AssertionError("seed $SEED, datagram $number: ${bytes.toList()}", escaped)
                }
            }
        }
        assertTrue(refused > 0, "no datagram was refused")
    }

    @Test
    fun `a quarantine arrives as it was sent`() {
        assertEquals(report, decodeMessage(valid)?.quarantine?.toReport())
    }

    @Test
    fun `a limit of a target arrives as it was sent`() {
        assertEquals(listOf(limit), decodeMessage(valid)?.paces?.map { it.toReport() })
    }

    @Test
    fun `a limit with values that no daemon has is refused`() {
        val limits =
            listOf(
                limit.copy(allowed = 0),
                limit.copy(allowed = 9),
                limit.copy(step = -1),
                limit.copy(confirmed = -1),
                limit.copy(ageMillis = -1),
            )
        for (implausible in limits) {
            val bytes = ProtoBuf.encodeToByteArray(WorkMessage("d", 1, 1, paces = listOf(PaceMessage.of(implausible))))
            assertNull(decodeMessage(bytes), "$implausible")
        }
    }

    @Test
    fun `the most work and limits that a message names fit into one datagram`() {
        val id = "i-" + "0".repeat(10)
        val work = List(WorkMessage.MAX_TARGETS) { TargetWork(id, 10, 20_000, 400_000, 2) }
        val paces = List(TargetPace.MAX_REPORTS) { PaceMessage(id, "1790032395244", 20, 8, 16, 8, 5_000, 20_000) }
        val penalties = List(PeerReports.MAX_PENALTIES) { ReportedPenalty(id, "1790032395244", 20_000) }
        val bytes =
            ProtoBuf.encodeToByteArray(
                WorkMessage("front-some-zone-a-40", 1L shl 41, 1 shl 20, work, 1_500, penalties, paces = paces),
            )
        assertTrue(bytes.size <= PeerLink.MAX_DATAGRAM_BYTES, "found ${bytes.size} bytes")
    }

    @Test
    fun `the pieces of a long report arrive as they were sent, each in one datagram`() {
        val parts = (0..299).map { PromptPart("part-$it") }
        val crash = PromptCrash(CrashedRun(TargetId("t"), Incarnation("1")), parts)
        val pieces = QuarantineReport(listOf(crash), emptyList(), emptyList()).split(QuarantineMessage.MAX_PARTS)
        val received =
            pieces.map {
                val bytes = ProtoBuf.encodeToByteArray(WorkMessage("d", 1, 1, quarantine = QuarantineMessage.of(it), isAddition = true))
                assertTrue(bytes.size <= PeerLink.MAX_DATAGRAM_BYTES, "found ${bytes.size} bytes")
                assertNotNull(decodeMessage(bytes)?.quarantine).toReport()
            }
        assertEquals(pieces, received)
    }

    @Test
    fun `a message without a quarantine is accepted`() {
        val bytes = ProtoBuf.encodeToByteArray(WorkMessage("d", 1, 1, emptyList(), 1_500))
        assertNull(assertNotNull(decodeMessage(bytes)).quarantine)
    }

    @Test
    fun `a quarantine with implausible parts is refused`() {
        val long = PartMessage("x".repeat(QuarantineMessage.MAX_CHARS + 1), 1)
        val negative = PartMessage("x", -1)
        for (part in listOf(long, negative)) {
            val bytes =
                ProtoBuf.encodeToByteArray(
                    WorkMessage("d", 1, 1, emptyList(), 1, quarantine = QuarantineMessage(quarantined = listOf(part))),
                )
            assertNull(decodeMessage(bytes))
        }
    }

    @Test
    fun `a message with values that no daemon has is refused`() {
        val messages =
            listOf(
                WorkMessage("d", 1, 1, listOf(TargetWork("t", 1, 0, Long.MAX_VALUE, 0)), 1),
                WorkMessage("d", 1, 1, listOf(TargetWork("t", -1, 0, 0, 0)), 1),
                WorkMessage("d", 1, 1, listOf(TargetWork("t", 1, -1, 0, 0)), 1),
                WorkMessage("d", 1, 1, listOf(TargetWork("t", 1, 0, 0, 2)), 1),
                WorkMessage("d", 1, 1, penalties = listOf(ReportedPenalty("t", "1", -1))),
                WorkMessage("d", 1, 1, loads = listOf(LoadMessage("t", "1", running = -1, waiting = 0, slots = 8, ageMillis = 0))),
                WorkMessage("d", 1, 1, loads = listOf(LoadMessage("t", "1", running = 1, waiting = 0, slots = 0, ageMillis = 0))),
                WorkMessage("d", 1, 1, loads = listOf(LoadMessage("t", "1", running = 1, waiting = 0, slots = 8, ageMillis = -1))),
                WorkMessage("d", 1, 1, loads = List(17) { LoadMessage("t$it", "1", running = 1, waiting = 0, slots = 8, ageMillis = 0) }),
            )
        for ((number, message) in messages.withIndex()) assertNull(decodeMessage(ProtoBuf.encodeToByteArray(message)), "message $number")
    }

    @Test
    fun `totals stay finite whatever messages state`() {
        val tracker = WorkTracker()
        repeat(DATAGRAMS) { decodeMessage(mutated())?.let { tracker.receive(it, MonotonicTime(1_000)) } }
        assertTrue(tracker.totalsAt(TargetId("t"), MonotonicTime(1_000)).active >= 0)
    }

    private companion object {
        const val SEED = 20_261_204

        /** Half of them mutated messages, half random bytes. */
        const val DATAGRAMS = 10_000
        const val STACK_BYTES = 262_144L
    }
}
