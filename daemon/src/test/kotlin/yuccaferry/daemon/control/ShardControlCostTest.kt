// Measures the store calls and peer messages of one daemon's control of shards, by the daemons and shards of a region.
package yuccaferry.daemon.control

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import yuccaferry.decisions.shards.ShardSettings
import yuccaferry.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertTrue

private const val SECONDS = 60

@OptIn(ExperimentalCoroutinesApi::class)
class ShardControlCostTest {
    private class Cost(
        val storeCalls: Double,
        val storeBytes: Double,
        val extensionsSent: Double,
        val maxExtensionsAnswered: Double,
    )

    @Test
    fun `store calls and messages of one daemon stay bounded as the region grows`() {
        val small = measure(daemons = 5, shards = 64)
        val middle = measure(daemons = 20, shards = 64)
        val manyShards = measure(daemons = 20, shards = 512)
        val large = measure(daemons = 123, shards = 64, extensionMillis = 12_000)
        val all = listOf(small, middle, manyShards, large)
        assertTrue(all.all { it.steady.storeCalls < 1.7 && it.steady.extensionsSent == 0.0 && it.outage.extensionsSent < 3.5 })
        assertTrue(large.steady.storeCalls <= small.steady.storeCalls)
        assertTrue(large.steady.storeBytes < 1_200)
        assertTrue(large.outage.maxExtensionsAnswered < 20)
    }

    private class Measured(
        val steady: Cost,
        val outage: Cost,
    )

    private fun measure(
        daemons: Int,
        shards: Int,
        extensionMillis: Long = ShardSettings().extensionMillis,
    ): Measured {
        val settings = ShardSettings(shardsPerRegion = shards, extensionMillis = extensionMillis)
        lateinit var result: Measured
        runTest {
            val fleet = ControlFleet({ MonotonicTime(currentTime) }, backgroundScope, settings)
            repeat(daemons) { fleet.start("daemon-%03d".format(it)) }
            advanceTimeBy(60_000)
            val steady = during(fleet) { advanceTimeBy(SECONDS * 1_000L) }
            fleet.store.unavailable = true
            advanceTimeBy(30_000)
            val outage = during(fleet) { advanceTimeBy(SECONDS * 1_000L) }
            result = Measured(steady, outage)
        }
        print("steady", daemons, settings, result.steady)
        print("outage", daemons, settings, result.outage)
        return result
    }

    private fun during(
        fleet: ControlFleet,
        action: () -> Unit,
    ): Cost {
        val size = fleet.daemons.size
        val before = fleet.daemons.values.associate { it.id to HashMap(it.counts) }
        val bytes = fleet.store.readBytes
        action()
        val spent =
            fleet.daemons.values.map { daemon ->
                daemon.counts.mapValues { it.value - (before.getValue(daemon.id)[it.key] ?: 0.0) }
            }

        fun rate(
            counts: Map<String, Double>,
            choose: (String) -> Boolean,
        ) = counts.filterKeys(choose).values.sum() / SECONDS
        return Cost(
            storeCalls = spent.map { counts -> rate(counts) { it.startsWith("control_store_calls") } }.average(),
            storeBytes = (fleet.store.readBytes - bytes).toDouble() / SECONDS / size,
            extensionsSent = spent.map { counts -> rate(counts) { it == "control_peer_calls attest out" } }.average(),
            maxExtensionsAnswered = spent.maxOf { counts -> rate(counts) { it == "control_peer_calls attest in" } },
        )
    }

    private fun print(
        state: String,
        daemons: Int,
        settings: ShardSettings,
        cost: Cost,
    ) = println(
        "cost state=$state daemons=$daemons seats=${settings.shardsPerRegion} attestation_ms=${settings.extensionMillis} " +
            "store_calls_per_s=%.2f store_read_bytes_per_s=%.0f asks_per_s=%.2f most_answers_per_s=%.2f"
                .format(cost.storeCalls, cost.storeBytes, cost.extensionsSent, cost.maxExtensionsAnswered),
    )
}
