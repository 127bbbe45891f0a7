/*
 * TCP proxy that forwards bytes and can cut, hold or delay them. It does not parse the protocol: bytes to the target
 * count as request, and bytes from it as response.
 */
package yuccaferry.standin.proxy

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.getAndUpdate
import kotlinx.coroutines.launch
import yuccaferry.standin.server.HostPort
import java.io.IOException
import java.nio.channels.ClosedChannelException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private const val BUFFER_BYTES = 16 * 1024

/** Forwards connections that arrive at [listen] to [target]. */
class TcpProxy(
    private val listen: HostPort,
    private val target: HostPort,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val faults = MutableStateFlow(ProxyFaults())
    private val open = ConcurrentHashMap.newKeySet<Connection>()
    private val accepted = AtomicLong()
    private val bytesUp = AtomicLong()
    private val bytesDown = AtomicLong()
    private val bytesHeld = AtomicLong()
    private val cuts = AtomicLong()
    private lateinit var server: ServerSocket

    @Volatile
    private var isStopped = false

    /** Starts to accept connections and returns the address that it listens on. */
    suspend fun start(): HostPort {
        server = aSocket(selector).tcp().bind(listen.host, listen.port)
        scope.launch { acceptAll() }
        return HostPort(listen.host, server.port)
    }

    /** Stops the proxy and closes all connections. */
    fun stop() {
        isStopped = true
        server.close()
        open.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    /** Replaces the faults; [ProxyFaults.cut] closes the open connections at once. */
    fun set(new: ProxyFaults) {
        faults.value = new
        if (new.cut) open.forEach(::cut)
    }

    /**
     * Silences the open connections for good: their bytes and their ends are lost, as with a firewall that has forgotten them. New
     * connections work.
     */
    fun silenceOpen() = open.forEach { it.isSilent = true }

    /** Returns the counts since the start. */
    fun stats() = ProxyStats(accepted.get(), open.size, bytesUp.get(), bytesDown.get(), bytesHeld.get(), cuts.get())

    private suspend fun acceptAll() {
        try {
            while (true) accept(server.accept())
        } catch (closed: ClosedChannelException) {
            if (!isStopped) throw closed
        }
    }

    private fun accept(client: Socket) {
        accepted.incrementAndGet()
        if (faults.value.cut) {
            cuts.incrementAndGet()
            client.close()
            return
        }
        scope.launch { connect(client) }
    }

    private suspend fun connect(client: Socket) {
        val upstream =
            try {
                aSocket(selector).tcp().connect(InetSocketAddress(target.host, target.port)) { noDelay = true }
            } catch (_: IOException) {
                client.close()
                return
            }
        val connection = Connection(client, upstream)
        open += connection
        if (faults.value.cut) cut(connection)
        scope.launch { copy(connection, Direction.UP, client, upstream) }
        scope.launch { copy(connection, Direction.DOWN, upstream, client) }
    }

    private suspend fun copy(
        connection: Connection,
        direction: Direction,
        source: Socket,
        sink: Socket,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            val from = source.openReadChannel()
            val to = sink.openWriteChannel()
            while (true) {
                val size = from.readAvailable(buffer)
                delay(faults.value.delayMs)
                awaitRelease(direction, size)
                if (connection.isSilent) awaitCancellation()
                if (size < 0) break
                if (!forward(connection, direction, buffer, size, to)) break
            }
        } catch (_: IOException) {
            connection.close()
        } finally {
            connection.close()
            open -= connection
        }
    }

    private suspend fun awaitRelease(
        direction: Direction,
        size: Int,
    ) {
        if (size <= 0 || !faults.value.holds(direction)) return
        bytesHeld.addAndGet(size.toLong())
        try {
            faults.first { !it.holds(direction) }
        } finally {
            bytesHeld.addAndGet(-size.toLong())
        }
    }

    /** Forwards [size] bytes, or fewer if a fault applies; returns false if the fault closed the connection. */
    private suspend fun forward(
        connection: Connection,
        direction: Direction,
        buffer: ByteArray,
        size: Int,
        to: ByteWriteChannel,
    ): Boolean {
        val allowed = if (direction == Direction.UP) limitRequestBytes(size) else limitResponseBytes(size)
        to.writeFully(buffer, 0, allowed.bytes)
        to.flush()
        (if (direction == Direction.UP) bytesUp else bytesDown).addAndGet(allowed.bytes.toLong())
        if (allowed.cut) cut(connection)
        return !allowed.cut
    }

    private class Allowed(
        val bytes: Int,
        val cut: Boolean,
    )

    private fun limitRequestBytes(size: Int): Allowed {
        val before =
            faults.getAndUpdate { current ->
                val left = current.cutAfterRequestBytes ?: return@getAndUpdate current
                current.copy(cutAfterRequestBytes = (left - size).takeIf { it > 0 })
            }
        val left = before.cutAfterRequestBytes ?: return Allowed(size, cut = false)
        return if (left > size) Allowed(size, cut = false) else Allowed(left.toInt(), cut = true)
    }

    private fun limitResponseBytes(size: Int): Allowed {
        val before = faults.getAndUpdate { it.copy(dropAnswer = false) }
        return if (before.dropAnswer) Allowed(0, cut = true) else Allowed(size, cut = false)
    }

    private fun cut(connection: Connection) {
        cuts.incrementAndGet()
        connection.close()
    }

    private class Connection(
        private val client: Socket,
        private val upstream: Socket,
    ) {
        @Volatile
        var isSilent = false

        fun close() {
            client.close()
            upstream.close()
        }
    }
}
