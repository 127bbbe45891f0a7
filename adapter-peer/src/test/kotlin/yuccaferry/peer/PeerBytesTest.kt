// Values from the store or from other daemons that this release can't use.
package yuccaferry.peer

import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import yuccaferry.daemon.port.GrantAnswer
import yuccaferry.daemon.port.PeerError
import yuccaferry.decisions.grants.Denial
import yuccaferry.model.Address
import yuccaferry.model.ConfigurationVersion
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PeerBytesTest {
    private val channels = PeerChannels()

    @AfterTest
    fun close() = channels.close()

    /** Guards against a record with an invalid address, which threw in the polls of every daemon that read it. */
    @Test
    fun `a peer at an address that is none is unreachable`() =
        runBlocking {
            val peers = GrpcConfigurationPeers(channels)
            for (address in listOf("", " ", "no address", "%%%", "a:b:c", "127.0.0.1:99999999", "http://", "\u0000")) {
                assertIs<PeerError.Unreachable>(peers.versionOf(Address(address)).getError(), address)
            }
        }

    /** Guards against an answer of a newer release that ended the caller's request with an exception. */
    @Test
    fun `a denial of an unknown kind counts as one by an unavailable target`() {
        val summary = WireSummary("t", 0, 0, 0, 0, 0, 0, warm = true, open = true)
        val denied = WireGrantAnswer(kind = 2, configuration = 7, denial = 99, summary = summary).toDomain()
        assertEquals(Denial.UNAVAILABLE, assertIs<GrantAnswer.Denied>(denied).denial)
        assertEquals(ConfigurationVersion(7), denied.configuration)
    }
}
