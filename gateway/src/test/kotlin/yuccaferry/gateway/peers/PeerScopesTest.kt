package yuccaferry.gateway.peers

import org.junit.jupiter.api.Nested
import yuccaferry.gateway.view.Member
import yuccaferry.model.DaemonName
import yuccaferry.model.ZoneName
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PeerScopesTest {
    private fun members(
        perZone: Int,
        vararg zones: String,
    ) = zones.flatMap { zone ->
        (1..perZone).map { Member(DaemonName("$zone-$it"), InetSocketAddress("127.0.0.1", 1), ZoneName(zone)) }
    }

    private fun scopes(
        own: String,
        members: List<Member>,
    ) = PeerScopes.of(DaemonName(own), ZoneName(own.substringBefore('-')), members)

    @Nested
    inner class `in a small fleet` {
        @Test
        fun `every other daemon is told everything`() {
            val scopes = scopes("a-1", members(8, "a", "b", "c"))
            assertTrue(scopes.isComplete)
            assertEquals(23, scopes.near.size)
            assertEquals(emptyList(), scopes.far)
        }
    }

    @Nested
    inner class `in a large fleet` {
        @Test
        fun `short prompts are told within the zone and long ones to all`() {
            val scopes = scopes("a-1", members(19, "a", "b", "c", "d", "e"))
            assertFalse(scopes.isComplete)
            assertEquals(18, scopes.near.size)
            assertTrue(scopes.near.all { it.zone == ZoneName("a") })
            assertEquals(94, scopes.near.size + scopes.far.size)
            assertEquals(1.0, scopes.knownShare)
        }

        @Test
        fun `the peers that are told about short prompts don't grow with the zone`() {
            val scopes = scopes("a-1", members(200, "a", "b"))
            assertEquals(20, scopes.near.size)
            assertEquals(21.0 / 200, scopes.knownShare)
        }

        @Test
        fun `each daemon of a zone is told by as many as it tells`() {
            val members = members(50, "a")
            val told = members.flatMap { member -> scopes(member.name.value, members).near }.groupingBy { it.name }.eachCount()
            assertEquals(setOf(20), told.values.toSet())
            assertEquals(50, told.size)
        }

        @Test
        fun `a daemon without a zone is told about long prompts`() {
            val member = Member(DaemonName("x"), InetSocketAddress("127.0.0.1", 1), zone = null)
            assertTrue(member in scopes("a-1", members(30, "a") + member).far)
        }
    }
}
