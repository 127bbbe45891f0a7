// Assignment of shards to daemons, and of voters to zones, for random fleets.
package yuccaferry.decisions.shards

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import yuccaferry.model.Address
import yuccaferry.model.DaemonId
import yuccaferry.model.ShardNumber
import yuccaferry.model.ZoneName
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShardAssignmentTest {
    private val shards = (0 until 64).map { ShardId(region, ShardNumber(it)) }

    private fun fleet(
        size: Int,
        salt: Int,
    ) = (0 until size).map { DaemonId("$salt-$it") }

    @Property(seed = "1", tries = 300)
    fun `no daemon holds more than a quarter above its share rounded up`(
        @ForAll @IntRange(min = 1, max = 130) size: Int,
        @ForAll salt: Int,
    ) {
        val assignment = assignShards(shards, fleet(size, salt))
        assertEquals(64, assignment.size)
        val most =
            assignment.values
                .groupingBy { it }
                .eachCount()
                .values
                .max()
        assertTrue(most <= ceil(1.25 * 64 / size), "$most shards for one of $size daemons")
    }

    @Test
    fun `adding a daemon moves little more than its share on average and never more than a fifth of the shards beyond it`() {
        val ratios =
            (2..40).map { size ->
                val share = 64.0 / (size + 1)
                val moved = (0 until 20).map { movedByAddition(size, salt = it) }.average()
                assertTrue(moved <= 1.25 * share + 13, "$moved shards moved when a daemon joined $size")
                moved / share
            }
        println("shards moved by one daemon more, by its share, average over 2 to 40 daemons: ${ratios.average()}")
        assertTrue(ratios.average() <= 1.75)
    }

    private fun movedByAddition(
        size: Int,
        salt: Int,
    ): Int {
        val daemons = fleet(size + 1, salt)
        val before = assignShards(shards, daemons.drop(1))
        val after = assignShards(shards, daemons.shuffled(Random(salt)))
        return shards.count { before[it] != after[it] }
    }

    @Property(seed = "3", tries = 300)
    fun `a voter set survives the loss of any of three zones that are evenly filled`(
        @ForAll @IntRange(min = 1, max = 41) perZone: Int,
        @ForAll salt: Int,
    ) {
        val serving = fleet(3 * perZone, salt).mapIndexed { i, id -> record(id, "zone-${i % 3}") }
        val voterSet = selectVoters(serving, emptyList(), emptyMap(), 9)
        assertEquals(voterCount(serving.size, 9), voterSet.size)
        val zones = voterSet.groupingBy { member -> serving.single { it.id == member.id }.zone }.eachCount()
        assertTrue(zones.values.all { voterSet.size - it > voterSet.size / 2 }, "$zones")
    }

    private fun record(
        id: DaemonId,
        zone: String,
    ) = DaemonRecord(id, Session(1), id.value, region, ZoneName(zone), Address(id.value), Address(id.value))
}
