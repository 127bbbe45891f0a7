package yuccaferry.daemon.grants

import com.github.michaelbull.result.Ok
import kotlinx.coroutines.runBlocking
import yuccaferry.daemon.control.ShardHolder
import yuccaferry.daemon.control.ShardTable
import yuccaferry.daemon.port.EngineCall
import yuccaferry.daemon.port.EngineClient
import yuccaferry.daemon.port.HeldItem
import yuccaferry.daemon.port.HeldKind
import yuccaferry.daemon.port.HeldWork
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.SegmentCall
import yuccaferry.daemon.port.TargetOrder
import yuccaferry.decisions.shards.DaemonRecord
import yuccaferry.decisions.shards.Session
import yuccaferry.decisions.shards.ShardId
import yuccaferry.decisions.shards.VoterSet
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.Incarnation
import yuccaferry.model.MonotonicTime
import yuccaferry.model.RegionName
import yuccaferry.model.RequestId
import yuccaferry.model.ServiceName
import yuccaferry.model.Target
import yuccaferry.model.TargetId
import yuccaferry.model.TargetKind
import yuccaferry.model.ZoneName
import kotlin.test.Test
import kotlin.test.assertEquals

private const val GRACE_MILLIS = 2_000L

class OrphanCollectorTest {
    private val region = RegionName("r")
    private val zone = ZoneName("a")
    private val target = Target(TargetId("t"), TargetKind.ENGINE, ServiceName("m"), zone, Address("t:1"))
    private val orphan = HeldItem(HeldKind.REQUEST, "q", DaemonId("other"), Epoch(1), 10, 0, 1_000)
    private val held = HeldWork(Incarnation("i"), warm = true, items = listOf(orphan))
    private val table = FakeTable()
    private val engines = CancellingEngines()
    private var now = 0L
    private val collector = OrphanCollector({ table }, engines, { MonotonicTime(now) }, NoTelemetry, GRACE_MILLIS)

    private fun record(id: String) = DaemonRecord(DaemonId(id), Session(1), id, region, zone, Address(id), Address(id))

    /** One round of observation at [millis], in which [target] is observed only if this daemon decides over it. */
    private fun observe(millis: Long) =
        runBlocking {
            now = millis
            collector.recordMembers()
            if (table.decides) collector.collect(target, held)
        }

    /** Guards against a grace time that began anew with the takeover of a dead daemon's engines, and came on top of it. */
    @Test
    fun `the grace time runs while the shards of the dead daemon are taken over`() {
        table.members = listOf(record("self"), record("other"))
        observe(0)
        table.members = listOf(record("self"))
        observe(1_000)
        observe(6_000)
        table.decides = true
        observe(7_000)
        assertEquals(listOf("q"), engines.cancelled)
    }

    @Test
    fun `work is kept until the grace time has passed`() {
        table.members = listOf(record("self"), record("other"))
        table.decides = true
        observe(0)
        table.members = listOf(record("self"))
        observe(1_000)
        observe(1_000 + GRACE_MILLIS - 1)
        assertEquals(emptyList(), engines.cancelled)
        observe(1_000 + GRACE_MILLIS)
        assertEquals(listOf("q"), engines.cancelled)
    }

    @Test
    fun `work of a daemon whose record comes back is kept`() {
        table.members = listOf(record("self"), record("other"))
        observe(0)
        table.members = listOf(record("self"))
        observe(1_000)
        table.members = listOf(record("self"), record("other"))
        table.decides = true
        observe(2_000)
        table.members = listOf(record("self"))
        observe(3_500)
        assertEquals(emptyList(), engines.cancelled)
    }

    @Test
    fun `work of a daemon that was never known is kept for the grace time`() {
        table.members = listOf(record("self"))
        table.decides = true
        observe(10_000)
        assertEquals(emptyList(), engines.cancelled)
        observe(10_000 + GRACE_MILLIS)
        assertEquals(listOf("q"), engines.cancelled)
    }

    private class FakeTable : ShardTable {
        var decides = false
        override val self = DaemonId("self")
        override var members = emptyList<DaemonRecord>()
        override val confirmed = true
        override val requiredConfigurationVersion = ConfigurationVersion.NONE
        override val extendedAsOf: MonotonicTime? = null

        override fun voterSet(region: RegionName) = VoterSet()

        override fun shardOf(target: Target): ShardId? = null

        override fun holderOf(target: Target): ShardHolder? = null

        override fun holderOf(shard: ShardId): ShardHolder? = null

        override fun mayDecide(target: Target): Epoch? = Epoch(1).takeIf { decides }

        override fun mayDecide(shard: ShardId): Epoch? = null

        override fun heldShards(): List<ShardId> = emptyList()

        override fun learn(view: ShardHolder) = Unit

        override fun isCurrent(
            shard: ShardId,
            epoch: Epoch,
        ) = true
    }

    private class CancellingEngines : EngineClient {
        val cancelled = mutableListOf<String>()

        override suspend fun cancel(
            target: Target,
            request: RequestId,
        ) = Ok(Unit).also { cancelled += request.value }

        override fun generate(
            target: Target,
            call: EngineCall,
        ) = error("not used")

        override suspend fun load(target: Target) = error("not used")

        override suspend fun held(target: Target) = error("not used")

        override suspend fun prefillSegment(
            target: Target,
            call: SegmentCall,
        ) = error("not used")

        override suspend fun releaseGang(
            target: Target,
            gang: String,
        ) = error("not used")

        override suspend fun releaseExport(
            target: Target,
            handle: String,
        ) = error("not used")

        override suspend fun order(
            target: Target,
            order: TargetOrder,
        ) = error("not used")
    }
}
