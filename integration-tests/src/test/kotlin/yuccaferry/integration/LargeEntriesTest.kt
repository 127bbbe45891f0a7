package yuccaferry.integration

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test

class LargeEntriesTest {
    private val fleet = GatewayFleet("large-entries", GATEWAYS)

    @AfterEach
    fun close() = fleet.close()

    /** Guards against changes that don't fit into one answer, which were asked for again until an outage of seconds was assumed. */
    @Test
    fun `a configuration is in force in time after more entries than one answer may hold`() {
        fleet.setPageSize(1)
        fleet.start()
        // All gateways have just read the store when the entries are written.
        fleet.assertNextConfigurationIsInForce()
        repeat(ENTRIES) { fleet.putTarget("large-$it", "{\"service\":\"".padEnd(MAX_VALUE_BYTES, 'x')) }
        fleet.assertNextConfigurationIsInForce()
    }

    private companion object {
        const val GATEWAYS = 2

        /** Entries whose base64 text is beyond the limit of an answer of the store many times over. */
        const val ENTRIES = 16

        /** Largest value that the platform's store accepts, in bytes. */
        const val MAX_VALUE_BYTES = 1_048_576
    }
}
