/*
 * Gateway processes beside a store into which another writer puts entries of any form. Each test writes such entries and then a
 * configuration; all share the processes, as entries and configurations follow each other in a store.
 */
package yuccaferry.integration

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import yuccaferry.platform.standin.StandInKeys
import kotlin.random.Random
import kotlin.test.Test

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ForeignEntriesTest {
    private val fleet = GatewayFleet("foreign-entries", GATEWAYS)

    @BeforeAll
    fun start() = fleet.start()

    @AfterAll
    fun close() = fleet.close()

    @Nested
    inner class `a configuration is in force in time after` {
        /** Guards against entries whose decoding overflowed the stack and ended the task that follows the store, without a sign. */
        @Test
        fun `entries that are nested deeply`() {
            for (depth in listOf(300, 5_000, 100_000)) {
                fleet.putTarget("arrays-$depth", """{"service":${"[".repeat(depth)}""")
                fleet.putTarget("objects-$depth", """{"service":${"""{"a":""".repeat(depth)}1${"}".repeat(depth)}}""")
                fleet.putTarget("start-$depth", entry(born = "[".repeat(depth) + "]".repeat(depth)))
            }
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries that are no objects or lack fields`() {
            listOf("", "null", "17", "\"text\"", "[]", "{}", "{\"service\":").forEachIndexed {
                number,
                text,
                ->
                fleet.putTarget("form-$number", text)
            }
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries with values of other types`() {
            fleet.putTarget("nulls", entry(service = "null", address = "null", slots = "null", cold = "null", born = "null"))
            fleet.putTarget("objects", entry(service = "{}", address = "[]", slots = "{}", cold = "[]", born = "{}"))
            fleet.putTarget("texts", entry(slots = "\"4\"", cold = "\"0\"", born = "\"${"x".repeat(20_000)}\""))
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries with values out of range`() {
            listOf("0", "-1", "4294967296", "1e300", "NaN").forEach { fleet.putTarget("slots$it", entry(slots = it)) }
            listOf("-1e300", "9223372036854775807", "1e300").forEach { fleet.putTarget("cold$it", entry(cold = it)) }
            listOf("-1", "1.5e9", "9".repeat(5_000)).forEach { fleet.putTarget("born${it.take(5)}", entry(born = it)) }
            listOf("127.0.0.1:0", "127.0.0.1:70000", "0.0.0.0:9", "255.255.255.255:9", "999.0.0.1:9", "localhost:9", ":", "")
                .forEach { fleet.putTarget("address$it", entry(address = "\"$it\"")) }
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries that are no text`() {
            val random = Random(SEED)
            repeat(20) { number -> fleet.put("${StandInKeys.TARGETS}bytes-$number", random.nextBytes(300)) }
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `an entry of the largest size`() {
            fleet.putTarget("large", """{"service":"""".padEnd(MAX_VALUE_BYTES, 'x'))
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `hundreds of entries at once`() {
            repeat(400) { fleet.putTarget("many-$it", "{".repeat(it)) }
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `entries of daemons that name no address`() {
            listOf("", " ", "127.0.0.1:0 z", "255.255.255.255:9 z", "localhost:9 z", "[".repeat(100_000))
                .forEachIndexed { number, text -> fleet.put("yuccaferry/daemons/$number", text.toByteArray()) }
            fleet.assertNextConfigurationIsInForce()
        }

        @Test
        fun `configurations that can't be read`() {
            for (text in listOf("", "{}", "{\"version\":${"[".repeat(10_000)}")) {
                fleet.putConfiguration(text)
                fleet.assertNextConfigurationIsInForce()
            }
        }
    }

    private fun entry(
        service: String = "\"plain\"",
        address: String = "\"127.0.0.1:9\"",
        slots: String = "4",
        cold: String = "0",
        born: String = "1",
    ) = """{"service":$service,"address":$address,"zone":"z","state":"draining","slots":$slots,"cold-remaining-ms":$cold,"born":$born}"""

    private companion object {
        const val GATEWAYS = 4
        const val SEED = 40

        /** Largest value that the platform's store accepts, in bytes. */
        const val MAX_VALUE_BYTES = 1_048_576
    }
}
