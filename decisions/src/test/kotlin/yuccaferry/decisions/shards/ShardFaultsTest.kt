// Random faults in a simulated fleet: a shard never has two deciders, and each has one soon after the faults end.
package yuccaferry.decisions.shards

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

private val settings = ShardSettings(shardsPerRegion = 8, maxExtensionMillis = 60_000, maxVoters = 5)
private const val FAULTS_END = 240_000L

/** Time after the faults within which every shard has a decider: extension limit, lease, change of the voter set and takeover. */
private const val RECOVERY_MILLIS = 150_000L

class ShardFaultsTest {
    @Test
    fun `at most one daemon decides for a shard under random faults and each shard is decided afterwards`() {
        val first = System.getProperty("seats.seed")?.toLong() ?: 1L
        val count = System.getProperty("seats.runs")?.toLong() ?: 40L
        for (seed in first until first + count) {
            try {
                runOnce(seed)
            } catch (e: IllegalStateException) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    private fun runOnce(seed: Long) {
        val fleet = SimulatedFleet(seed, settings)
        val size = 3 + (seed % 5).toInt()
        repeat(size) { fleet.start(zone = it % 3) }
        fleet.run(20_000)
        check(fleet.settled()) { "not settled after the start" }
        while (fleet.now < FAULTS_END) {
            fault(fleet, fleet.random)
            fleet.run(fleet.now + 1_000 + fleet.random.nextLong(12_000))
        }
        fleet.clearFaults()
        fleet.run(fleet.now + RECOVERY_MILLIS)
        check(fleet.settled()) { "not settled after the faults: ${shardIds(settings).filter { fleet.deciders(it).isEmpty() }}" }
    }

    private fun fault(
        fleet: SimulatedFleet,
        random: Random,
    ) {
        val until = fleet.now + 1_000 + random.nextLong(45_000)
        when (random.nextInt(4)) {
            0 -> daemonFault(fleet, random, until)
            1 -> pauseOrCut(fleet, random, until)
            2 -> partition(fleet, random, until)
            else -> storeFault(fleet, random, until)
        }
    }

    private fun daemonFault(
        fleet: SimulatedFleet,
        random: Random,
        until: Long,
    ) {
        val alive = fleet.daemons.filter { it.alive }
        when (random.nextInt(4)) {
            0 -> if (alive.size > 3) alive.random(random).alive = false
            1 -> if (alive.size < 9) fleet.start()
            2 -> if (alive.size > 3) fleet.send(alive.random(random), ShardEvent.Leave)
            else -> alive.filter { it.record.zone == alive.random(random).record.zone }.drop(1).forEach { it.pausedUntil = until }
        }
    }

    private fun pauseOrCut(
        fleet: SimulatedFleet,
        random: Random,
        until: Long,
    ) {
        val one = fleet.daemons.filter { it.alive }.random(random)
        if (random.nextBoolean()) {
            one.pausedUntil = until
        } else {
            one.storeReachable = false
            fleet.at(until) { one.storeReachable = true }
        }
    }

    private fun partition(
        fleet: SimulatedFleet,
        random: Random,
        until: Long,
    ) {
        val alive = fleet.daemons.filter { it.alive }
        if (random.nextBoolean()) {
            alive.forEach { it.group = random.nextInt(2) }
            fleet.at(until) { fleet.daemons.forEach { it.group = 0 } }
        }
        if (random.nextBoolean()) {
            alive.forEach { it.storeReachable = it.group == 1 }
            fleet.at(until + random.nextLong(20_000)) { alive.forEach { it.storeReachable = true } }
        } else {
            fleet.peerLoss = 0.3
            fleet.at(until) { fleet.peerLoss = 0.0 }
        }
    }

    private fun storeFault(
        fleet: SimulatedFleet,
        random: Random,
        until: Long,
    ) {
        when (random.nextInt(3)) {
            0 -> fleet.storeUp = false
            1 -> fleet.storeDelay = 5L + random.nextLong(900)
            else -> fleet.answerLoss = 0.4
        }
        fleet.at(until) {
            fleet.storeUp = true
            fleet.storeDelay = 5
            fleet.answerLoss = 0.0
        }
    }
}
