package yuccaferry.decisions.configuration

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import yuccaferry.model.Address
import yuccaferry.model.RegionName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MajorityTest {
    /**
     * As few members as possible hold an accepted version. Any members restart and lose what they hold, and one of them
     * queries members that did not restart. Whichever of these answer, at least one of them holds the version.
     */
    @Property(tries = 5_000, seed = "20261204")
    fun `a starting daemon learns of every accepted version`(
        @ForAll @IntRange(min = 1, max = 12) count: Int,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val members = List(count) { Member(Address("m$it"), RegionName("r")) }
        val holders = smallestHolders(members, random)
        val restarted = members.filter { random.nextBoolean() }.ifEmpty { listOf(members.random(random)) }
        val answering = (members - restarted.toSet()).shuffled(random)
        val needed = answersToStart(count)
        if (answering.size >= needed) {
            assertTrue(answering.take(needed).any { it.address in holders }, "count=$count holders=$holders restarted=$restarted")
        }
    }

    @Test
    fun `two disjoint parts of a region can't both be a majority`() {
        assertEquals(listOf(1, 2, 2, 3, 3), (1..5).map { majorityOf(it) })
    }

    /** Returns the first members of a random order, as few as make a version accepted. */
    private fun smallestHolders(
        members: List<Member>,
        random: Random,
    ): Set<Address> {
        val shuffled = members.shuffled(random).map { it.address }
        val enough = (1..members.size).first { heldByMajorities(members, shuffled.take(it).toSet()) }
        return shuffled.take(enough).toSet()
    }
}
