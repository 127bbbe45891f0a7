package yuccaferry.gateway.app

import org.junit.jupiter.api.Nested
import yuccaferry.daemon.port.NoTelemetry
import java.io.RandomAccessFile
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class SettingsFileTest {
    private val path = Files.createTempFile("gateway", ".json")
    private val validSettings =
        """{"settingsVersion":1,"name":"d","zone":"z","callers":"127.0.0.1:1","readiness":"127.0.0.1:2","metrics":"127.0.0.1:3",""" +
            """"host":"127.0.0.1","internalPorts":[7340,7355],"store":"127.0.0.1:4","limits":{"coldBurstFactor":1.5,"coldTolerance":5,""" +
            """"repeatRatio":0.2,"repeatReserve":236,"repeatWindowSeconds":10,"graceSeconds":8}}"""

    private fun file(text: String): SettingsFile {
        Files.writeString(path, text)
        return SettingsFile(path)
    }

    private fun messageOf(text: String) = assertFailsWith<IllegalArgumentException> { file(text) }.message.orEmpty()

    @AfterTest
    fun delete() {
        Files.delete(path)
    }

    @Nested
    inner class `refuses and names the field of` {
        @Test
        fun `an unknown field`() = assertContains(messageOf(validSettings.replace("\"zone\"", "\"zoen\"")), "zoen")

        @Test
        fun `an invalid address`() =
            assertContains(messageOf(validSettings.replace("127.0.0.1:4", "store:4")), "store: expected a.b.c.d:port, found store:4")

        @Test
        fun `a port out of range`() =
            assertContains(
                messageOf(validSettings.replace("7355", "65536")),
                "internalPorts: expected an IPv4 address and ports from 1 to 65535",
            )

        @Test
        fun `a negative limit`() =
            assertContains(
                messageOf(validSettings.replace("\"graceSeconds\":8", "\"graceSeconds\":-8")),
                "limits.graceSeconds: expected 0 or more, found -8.0",
            )

        @Test
        fun `an unsupported version`() =
            assertContains(messageOf(validSettings.replace(":1,\"name", ":2,\"name")), "settingsVersion: expected 1, found 2")
    }

    @Nested
    inner class `when the file changes` {
        @Test
        fun `puts new limits into force`() {
            val file = file(validSettings)
            Files.writeString(path, validSettings.replace("236", "100"))
            file.reload(NoTelemetry)
            assertEquals(100.0, file.current.limits.repeatReserve)
        }

        @Test
        fun `keeps the current settings if the new ones are invalid`() {
            val file = file(validSettings)
            Files.writeString(path, validSettings.replace("236", "\"many\""))
            file.reload(NoTelemetry)
            assertEquals(236.0, file.current.limits.repeatReserve)
        }

        /** Guards against a file that exhausts the memory of a daemon whose requests are served. */
        @Test
        fun `keeps the current settings if the file is huge`() {
            val file = file(validSettings)
            RandomAccessFile(path.toFile(), "rw").use { it.setLength(HUGE_BYTES) }
            file.reload(NoTelemetry)
            assertEquals(236.0, file.current.limits.repeatReserve)
            Files.writeString(path, validSettings.replace("236", "100"))
            file.reload(NoTelemetry)
            assertEquals(100.0, file.current.limits.repeatReserve)
        }

        @Test
        fun `keeps the current settings if the new ones are nested deeply`() {
            val file = file(validSettings)
            for (opening in listOf("[", "{\"name\":", "{\"limits\":", "{\"unknown\":")) {
                for (start in listOf("", "{\"limits\":", "{\"internalPorts\":")) {
                    Files.writeString(path, start + opening.repeat(DEPTH))
                    onSmallStack { file.reload(NoTelemetry) }
                }
            }
            assertEquals(236.0, file.current.limits.repeatReserve)
        }
    }

    /** Runs [action] on a thread with the stack of the event loop, and throws what it throws. */
    private fun onSmallStack(action: () -> Unit) {
        var thrown: Throwable? = null
        val worker = Thread(null, { thrown = runCatching(action).exceptionOrNull() }, "small", STACK_BYTES)
        worker.start()
        worker.join()
        thrown?.let { throw AssertionError(it) }
    }

    private companion object {
        /** Longer than any array, so that it can't be read whole. */
        const val HUGE_BYTES = 3_000_000_000L
        const val DEPTH = 100_000
        const val STACK_BYTES = 262_144L
    }
}
