// The state machine of one daemon, driven event by event.
package yuccaferry.decisions.shards

import yuccaferry.model.Address
import yuccaferry.model.DaemonId
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ShardStateMachineTest {
    private val address = Address("a:1")
    private val record = DaemonRecord(DaemonId("a"), Session(0), "a", region, ZoneName("z"), address, address)
    private val node = ShardStateMachine(record, ShardSettings(shardsPerRegion = 1))
    private val session = Session(4)

    private fun answer(
        call: StoreCall,
        answer: StoreAnswer,
        sentAt: Long,
        at: Long,
    ) = node.handle(ShardEvent.StoreAnswered(call, MonotonicTime(sentAt), answer), MonotonicTime(at))

    private fun join() {
        node.handle(ShardEvent.Tick, MonotonicTime(1_000))
        answer(StoreCall.GrantLease(15_000), StoreAnswer.Granted(session), sentAt = 1_000, at = 1_400)
        answer(StoreCall.WriteDaemon(record.copy(session = session), 0), StoreAnswer.Written(2), sentAt = 1_400, at = 1_500)
    }

    private fun readVoterSet(
        version: Long,
        at: Long,
    ): List<ShardEffect> {
        val members = listOf("b", "c", "d").map { Voter(DaemonId(it), Address(it)) }
        val entries = listOf(ControlEntry.OfVoterSet(region, VoterSet(version, members), revision = 10 + version))
        return answer(StoreCall.ReadControl(0), StoreAnswer.Contents(10 + version, entries), sentAt = at - 10, at = at)
    }

    @Test
    fun `a lease counts from before its grant or renewal was sent, less the margin`() {
        join()
        assertEquals(MonotonicTime(15_500), node.snapshot().validity?.leaseUntil)
        answer(StoreCall.RenewLease(session), StoreAnswer.Renewed(alive = true), sentAt = 6_000, at = 9_000)
        assertEquals(MonotonicTime(20_500), node.snapshot().validity?.leaseUntil)
    }

    @Test
    fun `a lease ends at once when the store reports that it has expired`() {
        join()
        answer(StoreCall.RenewLease(session), StoreAnswer.Renewed(alive = false), sentAt = 6_000, at = 6_010)
        assertNull(node.snapshot().validity?.leaseUntil)
    }

    @Test
    fun `a voter set read after the lease ran out is not used for lease extensions`() {
        join()
        readVoterSet(version = 1, at = 2_000)
        val asked = readVoterSet(version = 2, at = 16_000).filterIsInstance<PeerCall.ExtendLease>()
        assertEquals(listOf(1L, 1L), asked.map { it.request.voterSetVersion })
    }
}
