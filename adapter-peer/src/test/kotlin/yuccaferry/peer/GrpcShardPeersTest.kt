package yuccaferry.peer

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.ShardPeerHandler
import yuccaferry.decisions.shards.HandOverAnswer
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionAnswer
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.LeaseHolder
import yuccaferry.decisions.shards.PromiseAnswer
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.decisions.shards.RefusalReason
import yuccaferry.decisions.shards.Session
import yuccaferry.decisions.shards.ShardId
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.ShardNumber
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GrpcShardPeersTest {
    private val holder = LeaseHolder(DaemonId("a"), Session(5))
    private val version = ConfigurationVersion(8)
    private val received = ArrayList<Any>()
    private var extension: LeaseExtensionAnswer = LeaseExtensionAnswer.Extended(version)
    private var promise: PromiseAnswer = PromiseAnswer.Promised(1_200)

    private val handler =
        object : ShardPeerHandler {
            override suspend fun extendLease(request: LeaseExtensionRequest) = extension.also { received += request }

            override suspend fun promise(request: PromiseRequest) = promise.also { received += request }

            override suspend fun handOver(request: HandOverRequest) = HandOverAnswer.NOT_TAKEN.also { received += request }
        }
    private val scope = CoroutineScope(Dispatchers.Default)
    private val server = PeerServer("127.0.0.1", 0, listOf(shardPeerService(scope, handler))).also { it.start() }
    private val channels = PeerChannels()
    private val peers = GrpcShardPeers(channels)
    private val address = Address("127.0.0.1:${server.port}")

    /** Opens the connection with the call that has the longest timeout, before the calls under test. */
    @BeforeTest
    fun connect() {
        val request = HandOverRequest(ShardId(RegionName("attica"), ShardNumber(1)), Epoch(1), 1, holder, ByteArray(0))
        runBlocking { peers.handOver(address, request) }
        received.clear()
    }

    @AfterTest
    fun close() {
        channels.close()
        server.close()
        scope.cancel()
    }

    @Nested
    inner class `a peer that answers` {
        @Test
        fun `receives the request for a lease extension and its answer comes back`() =
            runBlocking {
                val request = LeaseExtensionRequest(holder, 3, ConfigurationVersion(7))
                assertEquals(Ok(LeaseExtensionAnswer.Extended(version)), peers.extendLease(address, request))
                extension = LeaseExtensionAnswer.Refused(version, RefusalReason.PROMISED_AWAY)
                assertEquals(Ok(extension), peers.extendLease(address, request))
                assertEquals(listOf<Any>(request, request), received)
            }

        @Test
        fun `receives both kinds of promise request and its answers come back`() =
            runBlocking {
                assertEquals(Ok(PromiseAnswer.Promised(1_200)), peers.promise(address, PromiseRequest.FenceHolder(holder)))
                promise = PromiseAnswer.Refused(RefusalReason.REASON_NOT_SEEN)
                assertEquals(Ok(promise), peers.promise(address, PromiseRequest.FenceVoters(4)))
                assertEquals(listOf<Any>(PromiseRequest.FenceHolder(holder), PromiseRequest.FenceVoters(4)), received)
            }

        @Test
        fun `receives a shard with its grants`() =
            runBlocking {
                val shard = ShardId(RegionName("attica"), ShardNumber(0))
                val request = HandOverRequest(shard, Epoch(6), 99, holder, byteArrayOf(1, 0, 2))
                assertEquals(Ok(HandOverAnswer.NOT_TAKEN), peers.handOver(address, request))
                val got = received.single() as HandOverRequest
                assertEquals(listOf(shard, Epoch(6), 99L, holder), listOf(got.shard, got.epoch, got.revision, got.from))
                assertContentEquals(byteArrayOf(1, 0, 2), got.grants)
            }
    }

    @Nested
    inner class `a peer that is gone` {
        @Test
        fun `is reported as unreachable`() {
            server.close()
            val answer = runBlocking { peers.promise(address, PromiseRequest.FenceHolder(holder)) }
            assertIs<PeerError.Unreachable>(answer.getError())
        }
    }
}
