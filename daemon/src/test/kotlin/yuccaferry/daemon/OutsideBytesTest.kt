// Feeds invalid values to each decoder of records and messages, on a thread with a small stack.
package yuccaferry.daemon

import org.junit.jupiter.api.Nested
import yuccaferry.daemon.configuration.ConfigurationCodec
import yuccaferry.daemon.control.CONTROL_PREFIX
import yuccaferry.daemon.control.controlEntry
import yuccaferry.daemon.ledger.decodeRecord
import yuccaferry.daemon.port.StoredValue
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.test.Test
import kotlin.test.assertNull

private const val STACK_BYTES = 256L * 1024

class OutsideBytesTest {
    private val deep = "[".repeat(100_000) + "]".repeat(100_000)
    private val invalid =
        listOf(
            "",
            "[",
            "null",
            "{\"a\":",
            "\uFFFD",
            "x".repeat(1 shl 20),
            deep,
            """{"x":$deep}""",
            """{"version":1e999,"session":${"9".repeat(1 shl 20)}}""",
        )

    private fun isUnreadable(read: (String) -> Any?) = invalid.forEach { assertUnreadable(it, read) }

    private fun assertUnreadable(
        text: String,
        read: (String) -> Any?,
    ) {
        var outcome: Result<Any?> = Result.success(null)
        val thread = Thread(null, { outcome = runCatching { read(text) } }, "small-stack", STACK_BYTES)
        thread.start()
        thread.join()
        assertNull(outcome.getOrThrow(), text.take(40))
    }

    @Nested
    inner class `an invalid value is unreadable as` {
        @Test
        fun `a configuration`() = isUnreadable(ConfigurationCodec::decode)

        @Test
        fun `a configuration of a peer`() =
            isUnreadable { text ->
                val bytes = ByteArrayOutputStream()
                GZIPOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
                ConfigurationCodec.fromBytes(bytes.toByteArray())
            }

        @Test
        fun `a configuration of a peer that isn't compressed`() = isUnreadable { ConfigurationCodec.fromBytes(it.encodeToByteArray()) }

        @Test
        fun `a control record`() =
            listOf("daemons/r/d", "seats/r/1", "seats/r/x", "").forEach { key ->
                isUnreadable { controlEntry(StoredValue(CONTROL_PREFIX + key, it, 1)) }
            }

        @Test
        fun `a voter set`() =
            invalid.filterNot { it.startsWith("{\"x\"") }.forEach { text ->
                assertUnreadable(text) { controlEntry(StoredValue(CONTROL_PREFIX + "rosters/r", it, 1)) }
            }

        @Test
        fun `a booking`() = isUnreadable(::decodeRecord)

        /** Guards against a stack overflow in a record whose state starts with another field than its type. */
        @Test
        fun `a booking with a deep state`() {
            val claim = """{"a":"1","d":"d","w":1,"l":1}"""
            assertUnreadable("""{"a":"1","f":"2","c":$claim,"s":{"x":$deep,"type":"claimed"}}""", ::decodeRecord)
        }
    }
}
