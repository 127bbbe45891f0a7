package yuccaferry.peer

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.PeerError
import yuccaferry.daemon.port.SeatPeerHandler
import yuccaferry.decisions.seats.AttestationAnswer
import yuccaferry.decisions.seats.AttestationRequest
import yuccaferry.decisions.seats.HandOverAnswer
import yuccaferry.decisions.seats.HandOverRequest
import yuccaferry.decisions.seats.Holder
import yuccaferry.decisions.seats.PromiseAnswer
import yuccaferry.decisions.seats.PromiseRequest
import yuccaferry.decisions.seats.RefusalReason
import yuccaferry.decisions.seats.SeatId
import yuccaferry.decisions.seats.Session
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.DaemonId
import yuccaferry.model.Epoch
import yuccaferry.model.RegionName
import yuccaferry.model.SeatNumber
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GrpcSeatPeersTest {
    private val holder = Holder(DaemonId("a"), Session(5))
    private val version = ConfigurationVersion(8)
    private val asked = ArrayList<Any>()
    private var attestation: AttestationAnswer = AttestationAnswer.Attested(version)
    private var promise: PromiseAnswer = PromiseAnswer.Promised(1_200)

    private val handler =
        object : SeatPeerHandler {
            override suspend fun attest(request: AttestationRequest) = attestation.also { asked += request }

            override suspend fun promise(request: PromiseRequest) = promise.also { asked += request }

            override suspend fun handOver(request: HandOverRequest) = HandOverAnswer.NOT_TAKEN.also { asked += request }
        }
    private val scope = CoroutineScope(Dispatchers.Default)
    private val server = PeerServer("127.0.0.1", 0, listOf(seatPeerService(scope, handler))).also { it.start() }
    private val channels = PeerChannels()
    private val peers = GrpcSeatPeers(channels)
    private val address = Address("127.0.0.1:${server.port}")

    /** Opens the connection with the call that waits longest. */
    @BeforeTest
    fun connect() {
        val request = HandOverRequest(SeatId(RegionName("attica"), SeatNumber(1)), Epoch(1), 1, holder, ByteArray(0))
        runBlocking { peers.handOver(address, request) }
        asked.clear()
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
        fun `gets the request for an attestation and its answer comes back`() =
            runBlocking {
                val request = AttestationRequest(holder, 3, ConfigurationVersion(7))
                assertEquals(Ok(AttestationAnswer.Attested(version)), peers.attest(address, request))
                attestation = AttestationAnswer.Refused(version, RefusalReason.PROMISED_AWAY)
                assertEquals(Ok(attestation), peers.attest(address, request))
                assertEquals(listOf<Any>(request, request), asked)
            }

        @Test
        fun `gets both kinds of promise and its answers come back`() =
            runBlocking {
                assertEquals(Ok(PromiseAnswer.Promised(1_200)), peers.promise(address, PromiseRequest.Against(holder)))
                promise = PromiseAnswer.Refused(RefusalReason.REASON_NOT_SEEN)
                assertEquals(Ok(promise), peers.promise(address, PromiseRequest.RosterUpTo(4)))
                assertEquals(listOf<Any>(PromiseRequest.Against(holder), PromiseRequest.RosterUpTo(4)), asked)
            }

        @Test
        fun `gets a seat with its grants`() =
            runBlocking {
                val seat = SeatId(RegionName("attica"), SeatNumber(0))
                val request = HandOverRequest(seat, Epoch(6), 99, holder, byteArrayOf(1, 0, 2))
                assertEquals(Ok(HandOverAnswer.NOT_TAKEN), peers.handOver(address, request))
                val got = asked.single() as HandOverRequest
                assertEquals(listOf(seat, Epoch(6), 99L, holder), listOf(got.seat, got.epoch, got.revision, got.from))
                assertContentEquals(byteArrayOf(1, 0, 2), got.grants)
            }
    }

    @Nested
    inner class `a peer that is gone` {
        @Test
        fun `is reported as unreachable`() {
            server.close()
            val answer = runBlocking { peers.promise(address, PromiseRequest.Against(holder)) }
            assertIs<PeerError.Unreachable>(answer.getError())
        }
    }
}
