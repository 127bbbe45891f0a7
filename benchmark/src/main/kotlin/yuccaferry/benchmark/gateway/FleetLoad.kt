/*
 * The surroundings of one gateway of a large fleet: the store with the entries of its peers and of all targets, the targets, and, each as
 * far as it is asked for, the messages of the peers, callers and readiness checks.
 */
package yuccaferry.benchmark.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import yuccaferry.gateway.net.EventLoop
import yuccaferry.platform.standin.CallerRequest
import yuccaferry.platform.standin.CallerStandIn
import yuccaferry.platform.standin.InstanceStandIn
import yuccaferry.platform.standin.StandInKeys
import yuccaferry.platform.standin.StoreStandIn
import yuccaferry.platform.standin.configurationDocument
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Size and rates of a fleet.
 *
 * @property peers other gateways, in three zones.
 * @property nearMessages messages a second to one gateway by those that tell it about short prompts.
 * @property farMessages messages a second to one gateway about long prompts.
 * @property requests requests a second to one gateway.
 * @property streamShare share of the requests that are streams.
 */
internal class FleetSize(
    val peers: Int = 99,
    val engines: Int = 54,
    val plainTargets: Int = 3,
    val nearMessages: Double = 40.0,
    val farMessages: Double = 20.0,
    val requests: Double = 0.7,
    val streamShare: Double = 0.85,
)

/** What acts on the gateway beside its store. */
internal enum class LoadPart { CHECKS, PEERS, REQUESTS }

/** The surroundings of a gateway; confined to [loop]. */
internal class FleetLoad(
    private val loop: EventLoop,
    private val size: FleetSize,
) {
    private val store = StoreStandIn(loop)
    private val random = Random(SEED)
    private val peerSocket = DatagramSocket(0, InetSocketAddress("127.0.0.1", 0).address)
    private val engineIds = (1..size.engines).map { "engine-$it" }

    /** Starts the targets and the store; returns the store's address. */
    suspend fun start(): InetSocketAddress {
        drainPeerSocket()
        engineIds.forEachIndexed { index, id -> addTarget(id, "engines", zoneOf(index)) }
        repeat(size.plainTargets) { addTarget("plain-$it", "plain", zoneOf(it)) }
        repeat(size.peers) { store.put("yuccaferry/daemons/${peerName(it)}", "127.0.0.1:${peerSocket.localPort} ${zoneOf(it)}") }
        store.put(StandInKeys.CONFIGURATION, configurationDocument(1, KEY))
        return store.start()
    }

    private suspend fun addTarget(
        id: String,
        service: String,
        zone: String,
    ) {
        val target = InstanceStandIn(loop, id, service, zone)
        store.put(StandInKeys.TARGETS + id, target.entry("127.0.0.1:${target.start().port}"))
    }

    /** Puts [parts] of the load on the gateway at [ports] until the job is cancelled. */
    fun apply(
        parts: Collection<LoadPart>,
        ports: GatewayPorts,
    ): Job =
        loop.scope.launch {
            for (part in parts) {
                when (part) {
                    LoadPart.CHECKS -> repeatWithin(CHECKS_PER_SECOND) { sendRequest(ports.readiness, "/") }
                    LoadPart.PEERS -> tellAsPeers(ports.peers)
                    LoadPart.REQUESTS -> repeatWithin(size.requests) { sendRequest(ports.callers, pathOfNext()) }
                }
            }
        }

    /** Runs [action] [perSecond] times a second at random moments, whether or not the one before has ended. */
    private fun CoroutineScope.repeatWithin(
        perSecond: Double,
        action: suspend () -> Unit,
    ) = launch {
        while (isActive) {
            delay((random.nextDouble() * 2 * MILLIS_PER_SECOND / perSecond).toLong())
            launch { action() }
        }
    }

    private fun pathOfNext() = if (random.nextDouble() < size.streamShare) "/read/" else "/safe/"

    private suspend fun sendRequest(
        address: InetSocketAddress,
        path: String,
    ) {
        val request = CallerRequest("r${random.nextInt(Int.MAX_VALUE)}", path, REQUEST_MILLIS, isStream = path == "/read/")
        CallerStandIn(loop, KEY).send(address, request)
    }

    private fun CoroutineScope.tellAsPeers(gateway: InetSocketAddress) {
        val sequences = HashMap<String, Long>()
        repeatWithin(size.nearMessages) { tell(gateway, nearPeer(), sequences, targets = 2) }
        repeatWithin(size.farMessages) { tell(gateway, peerName(random.nextInt(size.peers)), sequences, targets = 1) }
    }

    private fun nearPeer() = peerName(random.nextInt(NEAR_PEERS) * ZONES)

    private fun tell(
        gateway: InetSocketAddress,
        peer: String,
        sequences: MutableMap<String, Long>,
        targets: Int,
    ) {
        val sequence = (sequences[peer] ?: 0) + 1
        sequences[peer] = sequence
        val work = List(targets) { TargetWorkMessage(engineIds.random(random), 1, 0, PROMPT_TOKENS, 0) }
        val bytes = ProtoBuf.encodeToByteArray(PeerMessage(peer, 1, sequence, work, VALID_MILLIS))
        peerSocket.send(DatagramPacket(bytes, bytes.size, gateway))
    }

    private fun drainPeerSocket() {
        thread(isDaemon = true) {
            val packet = DatagramPacket(ByteArray(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES)
            while (true) peerSocket.receive(packet)
        }
    }

    private fun peerName(index: Int) = "peer-%03d".format(index)

    private fun zoneOf(index: Int) = "z${index % ZONES}"

    /** The fields of a message between gateways that the benchmark fills. */
    @Serializable
    private class PeerMessage(
        @ProtoNumber(1) val daemon: String,
        @ProtoNumber(2) val start: Long,
        @ProtoNumber(3) val sequence: Long,
        @ProtoNumber(4) val targets: List<TargetWorkMessage>,
        @ProtoNumber(5) val validMillis: Long,
    )

    @Serializable
    private class TargetWorkMessage(
        @ProtoNumber(1) val target: String,
        @ProtoNumber(2) val active: Int,
        @ProtoNumber(3) val readingMillis: Int,
        @ProtoNumber(4) val heldTokens: Long,
        @ProtoNumber(5) val longRequests: Int,
    )

    companion object {
        /** Zone of the gateway that is measured. */
        const val ZONE = "z0"
        private const val ZONES = 3
        private const val KEY = "key"
        private const val SEED = 17
        private const val MILLIS_PER_SECOND = 1_000
        private const val CHECKS_PER_SECOND = 1.0
        private const val REQUEST_MILLIS = 6_000L
        private const val NEAR_PEERS = 20
        private const val VALID_MILLIS = 3_000L
        private const val PROMPT_TOKENS = 5_000L
        private const val MAX_DATAGRAM_BYTES = 8_192
    }
}
