package yuccaferry.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.configuration.ConfigurationReplica
import yuccaferry.daemon.configuration.Membership
import yuccaferry.daemon.port.HeldConfiguration
import yuccaferry.daemon.port.KeyValueStore
import yuccaferry.daemon.port.LeaseId
import yuccaferry.daemon.port.NoTelemetry
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.PrefixSnapshot
import yuccaferry.daemon.port.StoreError
import yuccaferry.decisions.configuration.Member
import yuccaferry.model.Address
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.MonotonicTime
import yuccaferry.model.OperatorFile
import yuccaferry.model.RegionName
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class ConfigurationPeerServiceTest {
    private val channels = PeerChannels()
    private val peers = GrpcConfigurationPeers(channels, timeoutMillis = 10_000)
    private val servers = mutableListOf<PeerServer>()
    private val version7 = Configuration(ConfigurationVersion(7), OperatorFile(1, emptyList()))

    @AfterTest
    fun close() {
        channels.close()
        servers.forEach { it.close() }
    }

    private fun replica() =
        ConfigurationReplica(EmptyStore, { MonotonicTime(0) }, NoTelemetry, peers, { Membership(Member(Address("self"), RegionName("r"))) })

    private fun serve(replica: ConfigurationReplica): Address {
        val server = PeerServer("127.0.0.1", 0, listOf(ConfigurationPeerService(replica).definition()))
        servers += server
        server.start()
        return Address("127.0.0.1:${server.port}")
    }

    @Nested
    inner class `a settled peer` {
        @Test
        fun `sends its configuration only to peers with a lower version`() =
            runBlocking {
                val replica = replica().also { it.refresh() }
                replica.adopt(version7)
                val address = serve(replica)
                assertEquals(HeldConfiguration(version7, revision = 0), peers.fetch(address, ConfigurationVersion(6)).get())
                assertNull(peers.fetch(address, ConfigurationVersion(7)).get())
                assertEquals(ConfigurationVersion(7), peers.versionOf(address).get())
            }

        @Test
        fun `fetches a version that is announced to it`() =
            runBlocking {
                val announcer = replica().also { it.refresh() }
                announcer.adopt(version7)
                val receiver = replica()
                val receiverVersion = peers.announce(serve(receiver), ConfigurationVersion(7), serve(announcer))
                assertEquals(ConfigurationVersion(7), receiverVersion.get())
                assertEquals(version7, receiver.current)
            }
    }

    @Nested
    inner class `a peer that is starting` {
        @Test
        fun `refuses to send a configuration`() =
            runBlocking<Unit> {
                assertIs<PeerError.Refused>(peers.fetch(serve(replica()), ConfigurationVersion.NONE).getError())
            }
    }
}

private object EmptyStore : KeyValueStore {
    private val unused = Err(StoreError.NotApplied("not used"))

    override suspend fun read(key: String) = Ok(null)

    override suspend fun readPrefix(
        prefix: String,
        afterRevision: Long,
    ): Result<PrefixSnapshot, StoreError> = Ok(PrefixSnapshot(1, emptyList()))

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
        lease: LeaseId?,
    ) = unused

    override suspend fun deleteIf(
        key: String,
        expectedRevision: Long,
    ) = unused

    override suspend fun grantLease(ttlSeconds: Long) = unused

    override suspend fun renewLease(lease: LeaseId) = unused

    override suspend fun revokeLease(lease: LeaseId) = unused
}
