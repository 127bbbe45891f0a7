// Counts the bytes of a lease extension on the wire with a relay between two daemons.
package yuccaferry.peer

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import yuccaferry.daemon.port.ShardPeerHandler
import yuccaferry.decisions.shards.HandOverAnswer
import yuccaferry.decisions.shards.HandOverRequest
import yuccaferry.decisions.shards.LeaseExtensionAnswer
import yuccaferry.decisions.shards.LeaseExtensionRequest
import yuccaferry.decisions.shards.LeaseHolder
import yuccaferry.decisions.shards.PromiseAnswer
import yuccaferry.decisions.shards.PromiseRequest
import yuccaferry.decisions.shards.Session
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue

private const val CALLS = 500

class LeaseExtensionTrafficTest {
    private val version = ConfigurationVersion(12_345)

    private val handler =
        object : ShardPeerHandler {
            override suspend fun extendLease(request: LeaseExtensionRequest) = LeaseExtensionAnswer.Extended(version)

            override suspend fun promise(request: PromiseRequest) = PromiseAnswer.Promised(0)

            override suspend fun handOver(request: HandOverRequest) = HandOverAnswer.NOT_TAKEN
        }

    @Test
    fun `a lease extension and its answer take less than 250 bytes`() {
        val scope = CoroutineScope(Dispatchers.Default)
        val server = PeerServer("127.0.0.1", 0, listOf(shardPeerService(scope, handler))).also { it.start() }
        val relay = CountingRelay(server.port)
        val channels = PeerChannels()
        try {
            val peers = GrpcShardPeers(channels)
            val request =
                LeaseExtensionRequest(LeaseHolder(DaemonId("entry-attica-a-07-5f3a9c21"), Session(7_587_877_190_342_112_345)), 41, version)

            fun extendLease(times: Int) =
                runBlocking { repeat(times) { checkNotNull(peers.extendLease(Address("127.0.0.1:${relay.port}"), request).get()) } }
            runBlocking { while (peers.extendLease(Address("127.0.0.1:${relay.port}"), request).get() == null) Unit }
            val before = relay.bytes.get()
            extendLease(CALLS)
            val perCall = (relay.bytes.get() - before).toDouble() / CALLS
            println("bytes of TCP payload for a lease extension and its answer, both directions: $perCall")
            assertTrue(perCall < 250, "$perCall bytes")
        } finally {
            channels.close()
            relay.close()
            server.close()
            scope.cancel()
        }
    }
}

/** Forwards connections to port [target] on loopback and counts the bytes of both directions. */
private class CountingRelay(
    private val target: Int,
) : AutoCloseable {
    private val listener = ServerSocket(0, 4, InetAddress.getLoopbackAddress())
    val port: Int get() = listener.localPort
    val bytes = AtomicLong()

    init {
        thread(isDaemon = true) { runCatching { while (true) accept(listener.accept()) } }
    }

    private fun accept(client: Socket) {
        val server = Socket(InetAddress.getLoopbackAddress(), target)
        copy(client, server)
        copy(server, client)
    }

    private fun copy(
        from: Socket,
        to: Socket,
    ) = thread(isDaemon = true) {
        runCatching {
            val buffer = ByteArray(8_192)
            while (true) {
                val read = from.getInputStream().read(buffer)
                if (read < 0) break
                bytes.addAndGet(read.toLong())
                to.getOutputStream().write(buffer, 0, read)
            }
        }
        to.close()
    }

    override fun close() = listener.close()
}
