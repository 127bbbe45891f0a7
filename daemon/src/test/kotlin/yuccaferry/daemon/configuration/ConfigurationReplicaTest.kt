@file:OptIn(ExperimentalCoroutinesApi::class)

package yuccaferry.daemon.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.Field
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.Severity
import yuccaferry.daemon.port.Telemetry
import yuccaferry.decisions.configuration.ChangeRefusal
import yuccaferry.decisions.configuration.Member
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime
import yuccaferry.model.ZoneName
import yuccaferry.model.admin.ChangeState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigurationReplicaTest {
    private val store = FakeStore()
    private val peers = FakePeers()
    private val members = mutableListOf<Member>()

    private fun TestScope.replica(
        address: String,
        region: String = "r",
        readFrom: FakeStore = store,
    ): ConfigurationReplica {
        val self = member(address, region)
        members += self
        val membership = { Membership(self, members - self) }
        val replica = ConfigurationReplica(readFrom, { MonotonicTime(currentTime) }, NoTelemetry, peers, membership, random = Random(2))
        peers.replicas[self.address] = replica
        return replica
    }

    private fun TestScope.announcer(replica: ConfigurationReplica): ConfigurationAnnouncer {
        val self = members.first { peers.replicas[it.address] === replica }
        return ConfigurationAnnouncer(replica, peers, { Membership(self, members - self) }, backgroundScope)
    }

    @Nested
    inner class `a file that is applied` {
        @Test
        fun `is in force at another daemon after its next poll`() =
            runTest {
                val one = replica("one")
                val two = replica("two")
                one.apply(file(weight = 3), ConfigurationVersion(0), author("x"))
                two.refresh()
                assertEquals(ConfigurationVersion(1), two.current.version)
                assertEquals(
                    3,
                    two.current.file.accounts
                        .single()
                        .weight,
                )
            }

        @Test
        fun `leaves a zone out that was taken out before`() =
            runTest {
                val replica = replica("one")
                replica.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                replica.setZone(ZoneName("a"), out = true, author("y"))
                replica.apply(file(weight = 2), ConfigurationVersion(2), author("z"))
                assertEquals(setOf(ZoneName("a")), replica.current.zonesOut)
            }

        @Test
        fun `conflicts with what another operator applied first and names the difference`() =
            runTest {
                val one = replica("one")
                val two = replica("two")
                one.apply(file(weight = 2), ConfigurationVersion(0), author("x"))
                val error = two.apply(file(weight = 5), ConfigurationVersion(0), author("y")).getError()
                val conflict = assertIs<ChangeRefusal.Conflict>(assertIs<ChangeError.Refused>(error).refusal)
                assertEquals(ConfigurationVersion(1), conflict.current)
                assertEquals(listOf("$.accounts[0].weight 2 5"), conflict.changes.map { "${it.path} ${it.from} ${it.to}" })
            }
    }

    @Nested
    inner class `an outage of the store` {
        @Test
        fun `is logged when it starts and when it ends`() =
            runTest {
                val events = mutableListOf<String>()
                val telemetry =
                    object : Telemetry by NoTelemetry {
                        override fun event(
                            name: String,
                            vararg fields: Field,
                            severity: Severity,
                        ) {
                            events += name
                        }
                    }
                val self = Membership(member("one"))
                val replica = ConfigurationReplica(store, { MonotonicTime(currentTime) }, telemetry, peers, { self })
                store.unavailable = true
                repeat(3) { replica.refresh() }
                store.unavailable = false
                repeat(3) { replica.refresh() }
                assertEquals(listOf("configuration_not_confirmed", "configuration_confirmed_again"), events)
            }
    }

    @Nested
    inner class `a daemon that fetched a version from another` {
        @Test
        fun `has it confirmed by the store without reading its value again`() =
            runTest {
                val one = replica("one")
                val two = replica("two")
                one.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                one.refresh()
                two.fetchIfNewer(ConfigurationVersion(1), member("one").address)
                store.valuesSent = 0
                assertTrue(two.refresh())
                assertEquals(ConfigurationVersion(1), two.current.version)
                assertEquals(0, store.valuesSent)
            }
    }

    @Nested
    inner class `a change whose answer was lost` {
        @Test
        fun `is recognised although other changes have replaced it`() =
            runTest {
                val replica = replica("one")
                replica.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                replica.setZone(ZoneName("a"), out = true, author("y"))
                val repeated = replica.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                assertEquals(ConfigurationVersion(1), repeated.get())
                assertEquals(2, store.written.size)
            }

        @Test
        fun `is recognised by reading back`() =
            runTest {
                val lost = mutableListOf(LostWrite.APPLIED)
                store.nextLostWrite = { lost.removeFirstOrNull() }
                val version = replica("one").apply(file(weight = 1), ConfigurationVersion(0), author("x")).get()
                assertEquals(ConfigurationVersion(1), version)
                assertEquals(1, store.written.size)
            }

        @Test
        fun `is uncertain when no try is answered`() =
            runTest {
                store.nextLostWrite = { LostWrite.DROPPED }
                val error = replica("one").apply(file(weight = 1), ConfigurationVersion(0), author("x")).getError()
                assertIs<ChangeError.Uncertain>(error)
            }

        @Test
        fun `stays uncertain when it is not there yet and further tries are refused`() =
            runTest {
                store.nextLostWrite = {
                    store.refusesWrites = true
                    LostWrite.APPLIED_LATE
                }
                val error = replica("one").apply(file(weight = 1), ConfigurationVersion(0), author("x")).getError()
                assertIs<ChangeError.Uncertain>(error)
            }
    }

    @Nested
    inner class `a daemon that starts while the store is unavailable` {
        @Test
        fun `is not settled before enough others answered and then holds every accepted version`() =
            runTest {
                val one = replica("one")
                val two = replica("two")
                one.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                one.refresh()
                two.refresh()
                val unavailable = FakeStore().also { it.unavailable = true }
                val late = replica("late", readFrom = unavailable)
                peers.unreachable += member("one").address
                late.refresh()
                assertFalse(late.settled.value)
                peers.unreachable.clear()
                late.refresh()
                assertTrue(late.settled.value)
                assertEquals(ConfigurationVersion(1), late.current.version)
                assertNull(late.lastConfirmed)
            }
    }

    @Nested
    inner class `a version` {
        @Test
        fun `is accepted once a majority of each region holds it`() =
            runTest {
                val one = replica("one")
                replica("two")
                replica("three")
                replica("far", region = "s")
                one.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                one.refresh()
                peers.unreachable += member("three").address
                assertEquals(ChangeState.ACCEPTED, announcer(one).announce(ConfigurationVersion(1)))
            }

        @Test
        fun `is pending while one region is cut off`() =
            runTest {
                val one = replica("one")
                replica("far", region = "s")
                one.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                one.refresh()
                peers.unreachable += member("far").address
                assertEquals(ChangeState.PENDING, announcer(one).announce(ConfigurationVersion(1)))
            }

        @Test
        fun `is pending while a majority of the daemons but not of the voter set hold it`() =
            runTest {
                val one = replica("one")
                replica("two")
                one.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                one.refresh()
                val voters = listOf(members.first(), member("gone"), member("lost"))
                val known = Membership(members.first(), members.drop(1), voters)
                val announcer = ConfigurationAnnouncer(one, peers, { known }, backgroundScope)
                assertEquals(ChangeState.PENDING, announcer.announce(ConfigurationVersion(1)))
            }

        @Test
        fun `never decreases when the store lost the newest`() =
            runTest {
                val replica = replica("one")
                replica.apply(file(weight = 1), ConfigurationVersion(0), author("x"))
                val newest = replica.current
                val restored = replica("two", readFrom = FakeStore())
                restored.adopt(newest)
                assertFalse(restored.refresh())
                assertEquals(ConfigurationVersion(1), restored.current.version)
                assertNull(restored.lastConfirmed)
            }
    }
}
