package yuccaferry.daemon.configuration

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import yuccaferry.model.AccountEntry
import yuccaferry.model.AccountName
import yuccaferry.model.AttemptId
import yuccaferry.model.Configuration
import yuccaferry.model.ConfigurationVersion
import yuccaferry.model.ModelEntry
import yuccaferry.model.ModelVersion
import yuccaferry.model.OperatorFile
import yuccaferry.model.RECENT_ATTEMPTS_KEPT
import yuccaferry.model.RegionName
import yuccaferry.model.ServiceName
import yuccaferry.model.ZoneEntry
import yuccaferry.model.ZoneName
import java.util.UUID
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val ACCOUNTS = 260
private const val MODELS = 9
private const val ZONES = 11
private const val REGIONS = 3
private const val HASH_BYTES = 32
private const val MAX_STORED_BYTES = 1_000_000
private const val MAX_SENT_BYTES = 40_000

class ConfigurationSizeTest {
    private val random = Random(20261204)

    private fun hash() = random.nextBytes(HASH_BYTES).joinToString("") { "%02x".format(it) }

    private fun account(n: Int) =
        AccountEntry(
            name = AccountName("studio-%03d-%s".format(n, hash().take(6))),
            keySha256 = listOf(hash(), hash()),
            serves = List(random.nextInt(1, 4)) { ServiceName("model-${random.nextInt(MODELS)}") }.distinct(),
            zones = List(random.nextInt(0, 4)) { ZoneName("zone-${random.nextInt(ZONES)}") }.distinct(),
            weight = random.nextInt(1, 8),
            concurrentRequests = random.nextInt(4, 256),
        )

    private fun largeConfiguration() =
        Configuration(
            version = ConfigurationVersion(5_600),
            file =
                OperatorFile(
                    format = 1,
                    zones = List(ZONES) { ZoneEntry(ZoneName("zone-$it"), RegionName("region-${it % REGIONS}")) },
                    models = List(MODELS) { ModelEntry(ServiceName("model-$it"), ModelVersion("2026-11-$it")) },
                    accounts = List(ACCOUNTS) { account(it) },
                ),
            recentAttempts = List(RECENT_ATTEMPTS_KEPT) { AttemptId(UUID(random.nextLong(), random.nextLong()).toString()) },
        )

    @Nested
    inner class `a configuration of 260 accounts with two keys each` {
        @Test
        fun `fits into one stored value and is sent in less than 40000 bytes`() {
            val configuration = largeConfiguration()
            val plain = Json.encodeToString(configuration).length
            val stored = ConfigurationCodec.encode(configuration).length
            val sent = ConfigurationCodec.toBytes(configuration).size
            println("configuration of $ACCOUNTS accounts: plain=$plain stored=$stored sent=$sent bytes")
            assertTrue(stored < MAX_STORED_BYTES, "stored $stored")
            assertTrue(sent < MAX_SENT_BYTES, "sent $sent")
            assertEquals(configuration, ConfigurationCodec.decode(ConfigurationCodec.encode(configuration)))
            assertEquals(configuration, ConfigurationCodec.fromBytes(ConfigurationCodec.toBytes(configuration)))
        }
    }
}
