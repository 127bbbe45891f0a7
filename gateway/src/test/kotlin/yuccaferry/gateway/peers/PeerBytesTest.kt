package yuccaferry.gateway.peers

import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import yuccaferry.model.MonotonicTime
import yuccaferry.model.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Feeds mutated datagrams to the decoder of peers' messages; [SEED] and the datagram's number reproduce a failure. */
class PeerBytesTest {
    private val random = Random(SEED)
    private val valid =
        ProtoBuf.encodeToByteArray(
            WorkMessage("d", 1, 1, listOf(TargetWork("t", 1, 5, 9, 0)), 1_500, listOf(ReportedPenalty("t", "1", 900))),
        )

    private fun mutated(): ByteArray {
        val bytes = valid.copyOf(random.nextInt(1, valid.size + 8))
        repeat(random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        return bytes
    }

    @Test
    fun `a datagram is either a message or refused`() {
        var refused = 0
        repeat(DATAGRAMS) { number ->
            val bytes = mutated()
            try {
                decodeMessage(bytes) ?: refused++
            } catch (escaped: Exception) {
                throw AssertionError("seed $SEED, datagram $number: ${bytes.toList()}", escaped)
            }
        }
        assertTrue(refused > 0, "no datagram was refused")
    }

    @Test
    fun `totals stay finite whatever messages state`() {
        val tracker = WorkTracker()
        repeat(DATAGRAMS) { decodeMessage(mutated())?.let { tracker.receive(it, MonotonicTime(1_000)) } }
        assertTrue(tracker.totalsAt(TargetId("t"), MonotonicTime(1_000)).active >= 0)
    }

    private companion object {
        const val SEED = 20_261_204
        const val DATAGRAMS = 5_000
    }
}
